import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Another writer adds an entry to the list of workers: a copy of a worker's entry in which fields are missing or of
 * another type, under that worker's id and a line feed. The day ends with a final fault that kills all gateways.
 */
public final class ForeignEntry {
    private static final int WORKERS = 3;
    private static final int GATEWAYS = 2;
    private static final int CALM_MILLISECONDS = 8_000;
    private static final int BEFORE_FAULT_MILLISECONDS = 3_000;
    private static final int DOWN_MILLISECONDS = 800;
    private static final int RECOVERY_MILLISECONDS = 12_000;
    private static final int JUDGED_MILLISECONDS = 8_000;
    private static final int INTERVAL_MILLISECONDS = 25;
    private static final int WORK_MILLISECONDS = 150;
    private static final int TIMEOUT_MILLISECONDS = 1_500;

    private record Sent(String id, long at, boolean[] isServed) {}

    private final Site site;
    private final List<Sent> requests = new CopyOnWriteArrayList<>();
    private volatile boolean isOver;

    private ForeignEntry(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (site, hasTrouble) -> new ForeignEntry(site).play(hasTrouble));
    }

    private String play(boolean hasTrouble) throws Exception {
        String route = Site.route("look", "safe", TIMEOUT_MILLISECONDS, 2, false);
        site.configure(1, route, "\"key-1\"");
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < WORKERS; number++) {
            String id = "i-" + number;
            Worker worker = new Worker(0, exchange -> {
                exchange.readBody();
                if (!exchange.headers().getOrDefault("x-guavahatch-expect-instance", id).equals(id)) {
                    exchange.write("HTTP/1.1 421 Misdirected Request\r\nX-Guavahatch-Attempt-Id: " + exchange.id()
                        + "\r\nX-Guavahatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                site.note("worker " + id + ": runs " + exchange.id());
                Case.sleep(WORK_MILLISECONDS);
                exchange.answer("done " + exchange.id());
                return true;
            });
            workers.add(worker);
            site.list(id, worker, 6);
        }
        List<Site.Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= GATEWAYS; number++) {
            gateways.add(site.startGateway("front-a-" + number));
        }
        long startedAt = site.now();
        Case.start(() -> send(gateways));
        Case.sleep(CALM_MILLISECONDS);
        long entryAt = site.now();
        if (hasTrouble) {
            // The store stand-in writes keys into JSON as they are, so the line feed is written as an escape.
            site.store.put("servers", "i-0\\n", "{\"service\":\"app\",\"address\":\"" + workers.get(0).address()
                + "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\",\"sequence\":\"1\"}");
            site.note("another writer: writes an entry whose key is i-0 and a line feed, without version and"
                + " cold_remaining_ms and with a text as sequence");
        }
        Case.sleep(BEFORE_FAULT_MILLISECONDS);
        site.configure(2, route, "\"key-1\"");
        long faultAt = site.now();
        for (Site.Gateway gateway : gateways) {
            gateway.signal("KILL");
            gateway.await(5);
        }
        Case.sleep(DOWN_MILLISECONDS);
        for (Site.Gateway gateway : gateways) {
            gateway.start();
        }
        for (Site.Gateway gateway : gateways) {
            for (int attempt = 0; attempt < 100 && gateway.readiness() != 200; attempt++) {
                Case.sleep(50);
            }
            site.note(gateway.name + ": readiness " + gateway.readiness());
        }
        long backAt = site.now();
        Case.sleep(RECOVERY_MILLISECONDS + JUDGED_MILLISECONDS);
        isOver = true;
        Case.sleep(TIMEOUT_MILLISECONDS + 500);
        double calm = share("before the entry", startedAt, entryAt);
        share("from the entry to the final fault", entryAt, faultAt);
        double before = share("before the final fault", startedAt, faultAt);
        double after = share("later than recovery_s after the machines were back", backAt + RECOVERY_MILLISECONDS,
            backAt + RECOVERY_MILLISECONDS + JUDGED_MILLISECONDS);
        if (calm < 0.9 || before < 0.25) {
            throw new Site.CannotRun("too few requests are served before the final fault");
        }
        return after < 0.25 ? "RECOVER: " + Math.round(after * 100) + " of 100 requests were served, " + Math.round(before * 100)
            + " before the final fault" : null;
    }

    private void send(List<Site.Gateway> gateways) {
        for (int number = 0; !isOver; number++) {
            Sent sent = new Sent("look-" + number, site.now(), new boolean[1]);
            Site.Gateway gateway = gateways.get(number % gateways.size());
            requests.add(sent);
            Case.start(() -> request(gateway, sent));
            Case.sleep(INTERVAL_MILLISECONDS);
        }
    }

    private void request(Site.Gateway gateway, Sent sent) {
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(TIMEOUT_MILLISECONDS + 500);
            Case.send(socket, "/look/1", sent.id, TIMEOUT_MILLISECONDS, "a look".getBytes());
            Answer answer = Answer.read(socket.getInputStream());
            sent.isServed[0] = answer.status() == 200 && answer.isSealed() && answer.isComplete();
            site.note("client: " + sent.id + " at " + gateway.name + " gets " + answer.status() + " after "
                + (site.now() - sent.at) + " ms" + (answer.isComplete() ? "" : ", " + answer.problem()));
        } catch (Exception exception) {
            site.note("client: " + sent.id + ": " + exception);
        }
    }

    private double share(String when, long from, long to) {
        List<Sent> sent = requests.stream().filter(request -> request.at >= from && request.at < to).toList();
        long served = sent.stream().filter(request -> request.isServed[0]).count();
        site.note("clients: " + served + " of " + sent.size() + " requests sent " + when + " were served");
        return sent.isEmpty() ? 0 : (double) served / sent.size();
    }
}
