import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** All gateways are killed three times, 4 s apart, while workers fail 45 in 100 of their requests. */
public final class RetriesAfterKills {
    private static final int WORKERS = 4;
    private static final int GATEWAYS = 2;
    private static final int KILLS = 3;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final double FAILED_SHARE = 0.45;
    private static final int CALM_MILLISECONDS = 10_000;
    private static final int DOWN_MILLISECONDS = 500;
    private static final int BETWEEN_KILLS_MILLISECONDS = 3_500;
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final int WINDOW_MILLISECONDS = 10_000;
    private static final double BUDGET_RATIO = 0.2;
    private static final int BUDGET_SLACK = 56;

    private record Arrival(String id, long at) {}

    private final Site site;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> sent = new CopyOnWriteArrayList<>();
    private final Random random = new Random(7);
    private volatile boolean isOver;

    private RetriesAfterKills(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (site, hasTrouble) -> new RetriesAfterKills(site).play(hasTrouble));
    }

    private String play(boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("look", "safe", TIMEOUT_MILLISECONDS, 3, false), "\"key-1\"");
        for (int number = 0; number < WORKERS; number++) {
            site.list("i-" + number, new Worker(0, this::serve), 8);
        }
        List<Site.Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= GATEWAYS; number++) {
            gateways.add(site.startGateway("front-a-" + number));
        }
        long startedAt = site.now();
        Case.start(() -> send(gateways));
        Case.sleep(CALM_MILLISECONDS);
        for (int kill = 0; kill < KILLS; kill++) {
            if (hasTrouble) {
                for (Site.Gateway gateway : gateways) {
                    gateway.signal("KILL");
                    gateway.await(5);
                }
                Case.sleep(DOWN_MILLISECONDS);
                for (Site.Gateway gateway : gateways) {
                    gateway.start();
                }
            }
            Case.sleep(BETWEEN_KILLS_MILLISECONDS);
        }
        Case.sleep(6_000);
        isOver = true;
        return judge(startedAt + 5_000, site.now() - WINDOW_MILLISECONDS);
    }

    private boolean serve(Worker.Exchange exchange) throws java.io.IOException {
        exchange.readBody();
        arrivals.add(new Arrival(exchange.id(), site.now()));
        Case.sleep(15);
        boolean isFailed;
        synchronized (random) {
            isFailed = random.nextDouble() < FAILED_SHARE;
        }
        if (isFailed) {
            exchange.write("HTTP/1.1 500 Internal Server Error\r\nX-Guavahatch-Attempt-Id: " + exchange.id()
                + "\r\nX-Guavahatch-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n");
        } else {
            exchange.answer("done");
        }
        return true;
    }

    private void send(List<Site.Gateway> gateways) {
        for (int number = 0; !isOver; number++) {
            String id = "look-" + number;
            Site.Gateway gateway = gateways.get(number % gateways.size());
            sent.add(site.now());
            Case.start(() -> {
                try (Socket socket = gateway.connect()) {
                    socket.setSoTimeout(TIMEOUT_MILLISECONDS + 1_000);
                    Case.send(socket, "/look/1", id, TIMEOUT_MILLISECONDS, new byte[2]);
                    site.note("client: " + id + " gets " + Answer.read(socket.getInputStream()).status());
                } catch (java.io.IOException exception) {
                    site.note("client: " + id + ": " + exception);
                }
            });
            Case.sleep(1_000 / REQUESTS_PER_SECOND);
        }
    }

    /** Judges all windows that begin between {@code from} and {@code to}. */
    private String judge(long from, long to) {
        Set<String> seen = new HashSet<>();
        List<Long> repeats = arrivals.stream().filter(arrival -> !seen.add(arrival.id)).map(Arrival::at).toList();
        String worst = "none";
        double worstExcess = -Double.MAX_VALUE;
        for (long start = from; start < to; start += 100) {
            long count = within(repeats, start);
            long requests = Math.max(within(sent, start), Math.max(within(sent, start - WINDOW_MILLISECONDS),
                within(sent, start - WINDOW_MILLISECONDS / 2)));
            double limit = BUDGET_RATIO * requests + BUDGET_SLACK;
            if (count - limit > worstExcess) {
                worstExcess = count - limit;
                worst = count + " arrivals beyond the first in " + WINDOW_MILLISECONDS + " ms, " + limit + " are allowed";
            }
        }
        site.note("the worst window: " + worst);
        return worstExcess > 0 ? "BUDGET: " + worst : null;
    }

    private static long within(List<Long> times, long start) {
        return times.stream().filter(time -> time >= start && time < start + WINDOW_MILLISECONDS).count();
    }
}
