import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A gateway gets SIGTERM while requests wait for a free slot of a worker that is busy with long requests. */
public final class StopWithQueue {
    private static final int SLOTS = 2;
    private static final int WAITING = 4;
    private static final int WORK_MILLISECONDS = 8_500;
    private static final int TIMEOUT_MILLISECONDS = 15_000;

    private static final int LOSS_SLACK_MILLISECONDS = 200;
    private static final Set<String> run = ConcurrentHashMap.newKeySet();

    private StopWithQueue() {}

    public static void main(String[] arguments) {
        Case.run(arguments, StopWithQueue::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("order", "non_idempotent", TIMEOUT_MILLISECONDS, 1, false), "\"key-1\"");
        Worker worker = new Worker(0, exchange -> {
            exchange.readBody();
            run.add(exchange.id());
            site.note("worker: runs " + exchange.id());
            boolean isLong = exchange.id().startsWith("long");
            Case.sleep(isLong ? WORK_MILLISECONDS : 20);
            exchange.answer("done " + exchange.id());
            site.note("worker: has answered " + exchange.id());
            return true;
        });
        site.list("i-1", worker, SLOTS);
        Site.Gateway gateway = site.startGateway("front-a-1");
        List<Thread> clients = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        for (int number = 0; number < SLOTS; number++) {
            clients.add(request(site, gateway, "long-" + number, lost));
        }
        Case.sleep(300);
        for (int number = 0; number < WAITING; number++) {
            clients.add(request(site, gateway, "waiting-" + number, lost));
        }
        Case.sleep(500);
        if (hasTrouble) {
            gateway.signal("TERM");
            site.note("front-a-1: exits with " + gateway.await(9));
        }
        for (Thread client : clients) {
            client.join();
        }
        return lost.isEmpty() ? null : "LOST: " + lost + " were read whole, were not passed on and got no answer";
    }

    private static Thread request(Site site, Site.Gateway gateway, String id, List<String> lost) {
        return Case.start(() -> {
            try (Socket socket = gateway.connect()) {
                socket.setSoTimeout(TIMEOUT_MILLISECONDS + 2_000);
                Case.send(socket, "/order/1", id, TIMEOUT_MILLISECONDS, "an order".getBytes());
                long sentAt = site.now();
                site.note("client: sends " + id);
                Answer answer = Answer.read(socket.getInputStream());
                site.note("client: " + id + " gets " + answer.status() + " " + (site.now() - sentAt) + " ms after it was sent"
                    + (answer.isComplete() ? "" : ", " + answer.problem()));
                long waited = site.now() - sentAt;
                boolean isCut = !answer.isComplete() && waited > LOSS_SLACK_MILLISECONDS && waited < TIMEOUT_MILLISECONDS;
                // The rule excuses the long requests: their worker is at work when the process ends.
                if (isCut && id.startsWith("waiting") && !run.contains(id)) {
                    synchronized (lost) {
                        lost.add(id);
                    }
                }
            } catch (IOException exception) {
                site.note("client: " + id + ": " + exception);
            }
        });
    }
}
