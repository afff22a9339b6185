import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The operator adds a route to a second service. Then another writer adds an entry to the list of workers: a copy of a
 * worker's entry in which fields are missing or of another type, under that worker's id and a line feed.
 */
public final class ForeignEntry {
    private static final int WORKERS = 3;
    private static final int SLOTS = 6;
    private static final int GATEWAYS = 2;
    private static final int FIRST_ROUTE_MILLISECONDS = 3_000;
    private static final int APPLY_MILLISECONDS = 3_000;
    private static final int CALM_MILLISECONDS = 6_000;
    private static final int SETTLE_MILLISECONDS = 4_000;
    private static final int JUDGED_MILLISECONDS = 15_000;
    private static final int INTERVAL_MILLISECONDS = 40;
    private static final int WORK_MILLISECONDS = 150;
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final int FEWEST_JUDGED = 20;

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
        site.configure(1, route("first"), "\"key-1\"");
        startWorkers("first");
        String address = startWorkers("later");
        List<Site.Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= GATEWAYS; number++) {
            gateways.add(site.startGateway("front-a-" + number));
        }
        Case.start(() -> send("first", gateways));
        Case.sleep(FIRST_ROUTE_MILLISECONDS);
        site.configure(2, route("first") + "," + route("later"), "\"key-1\"");
        Case.sleep(APPLY_MILLISECONDS);
        long calmFrom = site.now();
        Case.start(() -> send("later", gateways));
        Case.sleep(CALM_MILLISECONDS);
        long calmTo = site.now();
        if (hasTrouble) {
            // The store stand-in writes keys into JSON as they are, so the line feed is written as an escape.
            site.store.put("servers", "later-0\\n", "{\"service\":\"later\",\"address\":\"" + address
                + "\",\"zone\":\"zone-a\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"sequence\":\"1\"}");
            site.note("another writer: writes an entry whose key is later-0 and a line feed, without version and"
                + " cold_remaining_ms and with a text as sequence");
        }
        Case.sleep(SETTLE_MILLISECONDS);
        long judgedFrom = site.now();
        Case.sleep(JUDGED_MILLISECONDS);
        long judgedTo = site.now();
        isOver = true;
        Case.sleep(TIMEOUT_MILLISECONDS + 500);
        double firstBefore = share("first", "before the entry", calmFrom, calmTo);
        double laterBefore = share("later", "before the entry", calmFrom, calmTo);
        if (firstBefore < 0.9 || laterBefore < 0.9) {
            throw new Site.CannotRun("too few requests are served before the entry");
        }
        double first = share("first", "from " + SETTLE_MILLISECONDS + " ms after it", judgedFrom, judgedTo);
        double later = share("later", "from " + SETTLE_MILLISECONDS + " ms after it", judgedFrom, judgedTo);
        return later * 4 < first ? "CONFIG: of the requests on the route that was added later, " + Math.round(later * 100)
            + " of 100 were served, " + Math.round(first * 100) + " of 100 on the first route" : null;
    }

    private static String route(String service) {
        return Site.route(service, "safe", TIMEOUT_MILLISECONDS, 2, false)
            .replace("\"service\":\"app\"", "\"service\":\"" + service + "\"");
    }

    /** Starts and lists the workers of a service; returns the address of the first. */
    private String startWorkers(String service) throws Exception {
        String first = null;
        for (int number = 0; number < WORKERS; number++) {
            String id = service + "-" + number;
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
            first = first == null ? worker.address() : first;
            site.store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + worker.address()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
        }
        return first;
    }

    private void send(String route, List<Site.Gateway> gateways) {
        for (int number = 0; !isOver; number++) {
            Sent sent = new Sent(route + "-request-" + number, site.now(), new boolean[1]);
            Site.Gateway gateway = gateways.get(number % gateways.size());
            requests.add(sent);
            Case.start(() -> request(gateway, sent, "/" + route + "/1"));
            Case.sleep(INTERVAL_MILLISECONDS);
        }
    }

    private void request(Site.Gateway gateway, Sent sent, String path) {
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(TIMEOUT_MILLISECONDS + 500);
            Case.send(socket, path, sent.id, TIMEOUT_MILLISECONDS, "a look".getBytes());
            Answer answer = Answer.read(socket.getInputStream());
            sent.isServed[0] = answer.status() == 200 && answer.isSealed() && answer.isComplete();
            site.note("client: " + sent.id + " at " + gateway.name + " gets " + answer.status() + " after "
                + (site.now() - sent.at) + " ms" + (answer.isComplete() ? "" : ", " + answer.problem()));
        } catch (Exception exception) {
            site.note("client: " + sent.id + ": " + exception);
        }
    }

    private double share(String route, String when, long from, long to) {
        List<Sent> sent = requests.stream()
            .filter(request -> request.id.startsWith(route) && request.at >= from && request.at < to).toList();
        long served = sent.stream().filter(request -> request.isServed[0]).count();
        site.note("clients: " + served + " of " + sent.size() + " requests on the route " + route + " sent " + when
            + " were served");
        if (sent.size() < FEWEST_JUDGED) {
            throw new Site.CannotRun("too few requests were sent");
        }
        return (double) served / sent.size();
    }
}
