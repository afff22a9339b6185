import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One worker of four answers one stream with bytes that are no answer, one small chunk after the other without end,
 * until the gateway closes. Meanwhile other clients send requests of another route.
 */
public final class EndlessTokens {
    private static final int WORKERS = 4;
    private static final int CALM_MILLISECONDS = 12_000;
    private static final int TROUBLE_MILLISECONDS = 25_000;
    private static final int LOOK_INTERVAL_MILLISECONDS = 100;
    private static final int BRIEF_INTERVAL_MILLISECONDS = 250;
    private static final int LOOK_TIMEOUT_MILLISECONDS = 1_500;
    private static final int BRIEF_TIMEOUT_MILLISECONDS = 6_000;
    private static final int LATE_MILLISECONDS = 500;
    private static final int EVENTS = 40;
    private static final int EVENT_INTERVAL_MILLISECONDS = 50;
    private static final int CHUNKS_PER_WRITE = 1_000;
    private static final int READINESS_INTERVAL_MILLISECONDS = 1_000;

    /** One request; waited is the time until its answer, or the largest number while it has none. */
    private static final class Sent {
        private final String id;
        private final long at;
        private volatile int waited = Integer.MAX_VALUE;

        Sent(String id, long at) {
            this.id = id;
            this.at = at;
        }
    }

    private final Site site;
    private final List<Sent> looks = new CopyOnWriteArrayList<>();
    private final AtomicBoolean isFaultDue = new AtomicBoolean();
    private volatile boolean isOver;

    private EndlessTokens(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (site, hasTrouble) -> new EndlessTokens(site).play(hasTrouble));
    }

    private String play(boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("look", "safe", LOOK_TIMEOUT_MILLISECONDS, 2, false) + ","
            + Site.route("brief", "streaming", BRIEF_TIMEOUT_MILLISECONDS, 1, false), "\"key-1\"");
        for (int number = 0; number < WORKERS; number++) {
            String id = "i-" + number;
            site.list(id, new Worker(0, exchange -> serve(id, exchange)), 8);
        }
        Site.Gateway gateway = site.startGateway("front-a-1");
        Case.start(() -> sendLooks(gateway));
        Case.start(() -> sendBriefs(gateway));
        Case.start(() -> checkReadiness(gateway));
        Case.sleep(CALM_MILLISECONDS);
        isFaultDue.set(hasTrouble);
        site.note("worker i-0: " + (hasTrouble ? "its next stream will be bytes without end" : "stays sound"));
        Case.sleep(TROUBLE_MILLISECONDS);
        isOver = true;
        Case.sleep(LOOK_TIMEOUT_MILLISECONDS + 4 * LATE_MILLISECONDS);
        long served = looks.stream().filter(look -> look.waited < LOOK_TIMEOUT_MILLISECONDS).count();
        long unanswered = looks.stream().filter(look -> look.waited >= LOOK_TIMEOUT_MILLISECONDS).count();
        long late = looks.stream().filter(look -> look.waited >= LOOK_TIMEOUT_MILLISECONDS + LATE_MILLISECONDS).count();
        site.note("clients: " + served + " of " + looks.size() + " requests got an answer before their route's timeout, "
            + unanswered + " were unanswered then, " + late + " of these half a second later too");
        if (!hasTrouble && unanswered > 0) {
            throw new Site.CannotRun("without the disruption " + unanswered + " requests are unanswered at the timeout");
        }
        return late * 2 > unanswered && late >= 10 ? "CONFIG: " + late + " of " + unanswered
            + " requests that were unanswered at the timeout had no answer half a second later" : null;
    }

    private boolean serve(String worker, Worker.Exchange exchange) throws IOException {
        exchange.readBody();
        site.note("worker " + worker + ": runs " + exchange.id());
        if (exchange.id().startsWith("look")) {
            Case.sleep(20);
            exchange.answer("done " + exchange.id());
            return true;
        }
        exchange.write(exchange.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        if (worker.equals("i-0") && isFaultDue.getAndSet(false)) {
            site.note("worker i-0: sends bytes without end for " + exchange.id());
            String chunks = "5\r\ntoken\r\n".repeat(CHUNKS_PER_WRITE);
            exchange.write("5\r\ndata:\r\n");
            long written = 0;
            try {
                while (true) {
                    exchange.write(chunks);
                    written += chunks.length();
                }
            } catch (IOException exception) {
                site.note("worker i-0: the gateway has closed after " + written + " bytes: " + exception.getMessage());
                return false;
            }
        }
        for (int number = 1; number <= EVENTS; number++) {
            String event = "id: " + number + "\ndata: some words\n\n";
            exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Case.sleep(EVENT_INTERVAL_MILLISECONDS);
        }
        exchange.write("0\r\n\r\n");
        return true;
    }

    private void sendLooks(Site.Gateway gateway) {
        for (int number = 0; !isOver; number++) {
            Sent look = new Sent("look-" + number, site.now());
            looks.add(look);
            Case.start(() -> request(gateway, look, "/look/1", 4 * LOOK_TIMEOUT_MILLISECONDS));
            Case.sleep(LOOK_INTERVAL_MILLISECONDS);
        }
    }

    private void sendBriefs(Site.Gateway gateway) {
        for (int number = 0; !isOver; number++) {
            Sent brief = new Sent("brief-" + number, site.now());
            Case.start(() -> request(gateway, brief, "/brief/1", BRIEF_TIMEOUT_MILLISECONDS));
            Case.sleep(BRIEF_INTERVAL_MILLISECONDS);
        }
    }

    private void checkReadiness(Site.Gateway gateway) {
        while (!isOver) {
            int status = gateway.readiness();
            site.note("platform: readiness of front-a-1 is " + (status == 0 ? "not answered within 2 s" : status));
            Case.sleep(READINESS_INTERVAL_MILLISECONDS);
        }
    }

    private void request(Site.Gateway gateway, Sent sent, String path, int budget) {
        String outcome;
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(BRIEF_TIMEOUT_MILLISECONDS + 2_000);
            Case.send(socket, path, sent.id, budget, "words".getBytes(StandardCharsets.US_ASCII));
            Answer answer = Answer.read(socket.getInputStream());
            sent.waited = (int) (site.now() - sent.at);
            outcome = "gets " + answer.status() + (answer.isComplete() ? "" : ", " + answer.problem());
        } catch (SocketTimeoutException exception) {
            outcome = "gets nothing";
        } catch (IOException exception) {
            outcome = exception.toString();
        }
        site.note("client: " + sent.id + " " + outcome + " after " + (site.now() - sent.at) + " ms");
    }
}
