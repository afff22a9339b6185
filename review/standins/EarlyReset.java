import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers answer long requests before they have read them, without a length. One worker of four crashes in the middle of
 * its answers and is back after two seconds; that happens three times.
 */
public final class EarlyReset {
    private static final int WORKERS = 4;
    private static final int ROUNDS = 3;
    private static final int REQUESTS_PER_ROUND = 8;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int READ_AT_FIRST_BYTES = 10_000;
    private static final int ANSWER_BYTES = 2_000;
    private static final int DOWN_MILLISECONDS = 2_000;
    private static final int ROUND_PAUSE_MILLISECONDS = 3_000;
    private static final int TIMEOUT_MILLISECONDS = 10_000;

    private final Site site;
    private final boolean hasTrouble;
    private final AtomicInteger truncated = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private Worker crashing;
    private boolean isCrashDue;

    private EarlyReset(Site site, boolean hasTrouble) {
        this.site = site;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (site, hasTrouble) -> new EarlyReset(site, hasTrouble).play());
    }

    private String play() throws Exception {
        site.configure(1, Site.route("order", "non_idempotent", TIMEOUT_MILLISECONDS, 1, false), "\"key-1\"");
        startCrashing(0);
        for (int number = 1; number < WORKERS; number++) {
            String id = "i-" + number;
            site.list(id, new Worker(65_536, exchange -> serve(id, exchange)), 8);
        }
        Site.Gateway gateway = site.startGateway("front-a-1");
        for (int round = 0; round < ROUNDS; round++) {
            setCrashDue(hasTrouble);
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < REQUESTS_PER_ROUND; number++) {
                String id = "attempt-" + round + "-" + number;
                clients.add(Case.start(() -> request(gateway, id)));
            }
            for (Thread client : clients) {
                client.join();
            }
            Case.sleep(ROUND_PAUSE_MILLISECONDS);
        }
        int sent = ROUNDS * REQUESTS_PER_ROUND;
        site.note("clients: " + complete + " of " + sent + " answers were whole, " + truncated + " were cut and looked whole");
        if (!hasTrouble && complete.get() < sent) {
            throw new Site.CannotRun("without the disruption only " + complete + " answers were whole");
        }
        return truncated.get() == 0 ? null
            : "MIXED: " + truncated + " clients got a success that looks whole and holds a part of the worker's body";
    }

    private synchronized void startCrashing(int port) throws IOException {
        crashing = new Worker(port, 65_536, exchange -> serve("i-0", exchange));
        site.list("i-0", crashing, 8);
    }

    private synchronized void setCrashDue(boolean isDue) {
        isCrashDue = isDue;
    }

    /** Crashes the worker i-0 if that is due in this round. */
    private synchronized boolean crash() throws IOException {
        if (!isCrashDue) {
            return false;
        }
        isCrashDue = false;
        int port = Integer.parseInt(crashing.address().split(":")[1]);
        site.note("worker i-0: crashes; its connections are reset");
        crashing.crash();
        Case.start(() -> {
            Case.sleep(DOWN_MILLISECONDS);
            try {
                startCrashing(port);
                site.note("worker i-0: is back");
            } catch (IOException exception) {
                site.note("worker i-0: " + exception);
            }
        });
        return true;
    }

    private boolean serve(String worker, Worker.Exchange exchange) throws IOException {
        exchange.input().readNBytes(READ_AT_FIRST_BYTES);
        site.note("worker " + worker + ": has read " + READ_AT_FIRST_BYTES + " of " + exchange.contentLength() + " bytes of "
            + exchange.id() + ", runs it and sends half of an answer without a length");
        exchange.write(exchange.head("Connection: close\r\n") + "x".repeat(ANSWER_BYTES / 2));
        Case.sleep(300);
        if (worker.equals("i-0") && crash()) {
            return false;
        }
        exchange.write("x".repeat(ANSWER_BYTES / 2));
        exchange.input().readNBytes(exchange.contentLength() - READ_AT_FIRST_BYTES);
        return false;
    }

    private void request(Site.Gateway gateway, String id) {
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(TIMEOUT_MILLISECONDS + 2_000);
            Case.send(socket, "/order/1", id, TIMEOUT_MILLISECONDS, new byte[REQUEST_BYTES]);
            Answer answer = Answer.read(socket.getInputStream());
            site.note("client: " + id + " gets " + answer.status() + ", seal: " + answer.isSealed() + ", bytes: "
                + answer.body().length() + " of " + ANSWER_BYTES + ", looks whole: " + answer.isComplete() + " "
                + answer.headers());
            if (answer.status() == 200 && answer.isSealed() && answer.isComplete()) {
                (answer.body().length() == ANSWER_BYTES ? complete : truncated).incrementAndGet();
            }
        } catch (IOException exception) {
            site.note("client: " + id + ": " + exception.getMessage());
        }
    }
}
