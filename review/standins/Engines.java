import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Model workers of one service. A request with the part {@link #DEADLY_PART} crashes the worker that begins to write
 * an answer to it; the worker is back after some seconds.
 */
final class Engines {
    static final String DEADLY_PART = "dead0001";
    private static final int WORKER_DOWN_MILLISECONDS = 3_000;
    private static final int EVENTS = 8;
    private static final int PAUSE_MILLISECONDS = 50;
    private static final int TIME_LIMIT_MILLISECONDS = 6_000;

    private final Site site;
    private final boolean isDeadly;
    private final int firstEventMilliseconds;
    private final boolean isFramed;
    private final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> deadlyArrivals = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    /** Starts and lists {@code count} workers. */
    Engines(Site site, int count, int firstEventMilliseconds, boolean isDeadly) throws IOException {
        this(site, count, firstEventMilliseconds, isDeadly, true);
    }

    /**
     * Starts and lists {@code count} workers.
     *
     * @param isFramed whether answers come in chunks; if not, they have no length and end with their connections, also
     * when the worker crashes
     */
    Engines(Site site, int count, int firstEventMilliseconds, boolean isDeadly, boolean isFramed) throws IOException {
        this.site = site;
        this.isFramed = isFramed;
        this.isDeadly = isDeadly;
        this.firstEventMilliseconds = firstEventMilliseconds;
        for (int number = 0; number < count; number++) {
            new Engine("i-" + number).start();
        }
    }

    /** The route of all requests, a stream that may be resumed. */
    static String route() {
        return Site.route("brief", "streaming", TIME_LIMIT_MILLISECONDS, 2, true);
    }

    int crashes() {
        return crashes.size();
    }

    /** The time of crash {@code number}, or of the last one if there are fewer. */
    long crashedAt(int number) {
        synchronized (crashes) {
            return crashes.isEmpty() ? site.now() : crashes.get(Math.min(crashes.size(), number) - 1);
        }
    }

    /** Requests with the deadly part that reached a worker after {@code time}. */
    int deadlyArrivalsAfter(long time) {
        synchronized (deadlyArrivals) {
            return (int) deadlyArrivals.stream().filter(at -> at > time).count();
        }
    }

    /** Whether a worker began to answer request {@code id}. */
    boolean hasBegun(String id) {
        return begun.contains(id);
    }

    /** Sends a request with the prompt {@code parts}, on a new connection. */
    void request(Site.Gateway gateway, String id, String parts) {
        Case.start(() -> {
            try (Socket socket = gateway.connect()) {
                socket.setSoTimeout(TIME_LIMIT_MILLISECONDS + 2_000);
                String head = "POST /brief/1 HTTP/1.1\r\nHost: shop.example\r\nX-Guavahatch-Attempt-Id: " + id
                    + "\r\nX-Api-Key: key-1\r\nX-Guavahatch-Model: m\r\nX-Guavahatch-Token-Count: 550,20\r\n"
                    + "X-Guavahatch-Prompt-Prefix-Hash: " + parts + "\r\nX-Guavahatch-Time-Budget-Ms: "
                    + TIME_LIMIT_MILLISECONDS + "\r\nContent-Length: 5\r\n\r\nbrief";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                long sentAt = site.now();
                Answer answer = Answer.read(socket.getInputStream());
                site.note("client: " + id + " at " + gateway.name + " gets " + answer.status() + " after "
                    + (site.now() - sentAt) + " ms, events: " + answer.body().lines().filter(line -> line.startsWith("id:")).count()
                    + " of " + EVENTS + ", complete: " + answer.isComplete() + ", Retry-After: "
                    + answer.headers().get("retry-after"));
            } catch (IOException exception) {
                site.note("client: " + id + ": " + exception);
            }
        });
    }

    private final class Engine {
        private final String id;
        private int port;
        private Worker worker;

        Engine(String id) {
            this.id = id;
        }

        synchronized void start() throws IOException {
            worker = new Worker(port, 0, this::serve);
            port = Integer.parseInt(worker.address().split(":")[1]);
            site.list(id, worker, 8);
        }

        private boolean serve(Worker.Exchange exchange) throws IOException {
            exchange.readBody();
            String parts = exchange.headers().getOrDefault("x-guavahatch-prompt-prefix-hash", "");
            boolean hasDeadlyPart = parts.contains(DEADLY_PART);
            if (hasDeadlyPart) {
                deadlyArrivals.add(site.now());
                site.note("worker " + id + ": receives " + exchange.id());
            }
            Case.sleep(firstEventMilliseconds);
            if (hasDeadlyPart && isDeadly) {
                if (!isFramed) {
                    exchange.write(exchange.head("Content-Type: text/event-stream\r\n") + event(1));
                }
                crash(exchange.id());
                return false;
            }
            begun.add(exchange.id());
            site.note("worker " + id + ": begins " + exchange.id());
            exchange.write(exchange.head("Content-Type: text/event-stream\r\n"
                + (isFramed ? "Transfer-Encoding: chunked\r\n" : "")));
            for (int number = 1; number <= EVENTS; number++) {
                String event = event(number);
                exchange.write(isFramed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event);
                Case.sleep(PAUSE_MILLISECONDS);
            }
            if (isFramed) {
                exchange.write("0\r\n\r\n");
            }
            return isFramed;
        }

        private static String event(int number) {
            return "id: " + number + "\ndata: some words\n\n";
        }

        private synchronized void crash(String request) throws IOException {
            Worker crashed = worker;
            if (crashed == null) {
                return;
            }
            worker = null;
            crashes.add(site.now());
            site.note("worker " + id + ": crashes as it begins " + request);
            crashed.crash(isFramed);
            Case.start(() -> {
                Case.sleep(WORKER_DOWN_MILLISECONDS);
                try {
                    start();
                    site.note("worker " + id + ": is back");
                } catch (IOException exception) {
                    site.note("worker " + id + ": " + exception);
                }
            });
        }
    }
}
