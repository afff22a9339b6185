import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A few clients send requests with one long header field, within the limit of the configuration. */
final class LongHeader {
    private static final int GATEWAYS = 2;
    private static final long LENGTH = 20_000;
    private static final long BEGIN = 5_000;
    private static final long END = 15_000;
    private static final int SENDERS = 8;

    /** With the other fields the head has less than the 16,384 bytes of {@code max_header_bytes}. */
    private static final int VALUE_BYTES = 15_000;
    private static final int TIMEOUT = 800;
    private static final int TIME_LIMIT = 1_500;
    private static final long LATE = 500;
    private static final int FEWEST = 8;

    private final Scene scene = new Scene();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();

    private LongHeader() throws Exception {
    }

    private void configure() {
        scene.store.put("op", "config", "{\"version\":1,\"routes\":[{\"name\":\"lookup\",\"host\":\"ficu95.example\","
            + "\"prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeout_ms\":" + TIMEOUT + ",\"target_latency_ms\":100,"
            + "\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,"
            + "\"stream_resume\":false}],\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\","
            + "\"max_connections\":110}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant0\","
            + "\"api_keys\":[\"key-0\"],\"priority\":1}]}");
    }

    private Client.Result send(String kind, Scene.Gateway gateway, String extra) {
        String id = String.format("%08x", ids.incrementAndGet());
        String head = Client.head("/lookup/a", "ficu95.example", id, "key-0", TIME_LIMIT, "Connection: close\r\n"
            + extra, 0);
        long sentAt = Scene.now();
        Client.Result result = Client.call(gateway, head, "", TIME_LIMIT);
        long duration = Scene.now() - sentAt;
        String outcome = kind + " " + result.status();
        outcomes.computeIfAbsent(outcome, name -> new AtomicInteger()).incrementAndGet();
        scene.note("sent " + id + " at " + sentAt + " to " + gateway.name + ": " + outcome + " after " + duration);
        if (kind.equals("usual")) {
            boolean hasAnswer = result.status() != 0;
            if (!hasAnswer || duration > TIMEOUT) {
                unanswered.incrementAndGet();
                if (!hasAnswer || duration > TIMEOUT + LATE) unansweredLater.incrementAndGet();
            }
        }
        return result;
    }

    private void play() throws Exception {
        configure();
        for (int worker = 0; worker < 3; worker++) {
            new Worker(scene.store, "orders", "zone-0", 6, (self, request, answer) -> {
                Scene.sleep(20);
                answer.whole(200, "X-Guavahatch-Response-Seal: seal." + answer.id() + "\r\n", "stock " + answer.id());
            });
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            scene.start("front-" + gateway, "zone-0", scene.store.address());
        }
        scene.awaitReady();
        long start = Scene.now();
        // The same length in either run: lower-case letters without the trouble, capital letters with it.
        String value = (scene.hasTrouble ? "A" : "a").repeat(VALUE_BYTES);
        for (int sender = 0; sender < SENDERS; sender++) {
            Scene.background(() -> {
                Scene.sleep(start + BEGIN - Scene.now());
                while (Scene.now() - start < END) {
                    send("long header", scene.gateways.get(0), "X-Padding: " + value + "\r\n");
                    Scene.sleep(500);
                }
            });
        }
        List<Thread> usual = new ArrayList<>();
        for (int number = 0; Scene.now() - start < LENGTH; number++) {
            Scene.sleep(start + number * 50L - Scene.now());
            Scene.Gateway gateway = scene.gateways.get(number % GATEWAYS);
            usual.add(Scene.background(() -> send("usual", gateway, "")));
        }
        for (Thread thread : usual) thread.join();
        scene.note("outcomes " + new TreeMap<>(outcomes));
        boolean isBroken = unanswered.get() >= FEWEST && unansweredLater.get() * 2 > unanswered.get();
        String verdict = unanswered + " usual requests had no answer at the time-out of their route, and "
            + unansweredLater + " of these none " + LATE + " ms later; outcomes " + new TreeMap<>(outcomes);
        scene.finish(isBroken ? 1 : 0, verdict);
    }

    public static void main(String[] arguments) throws Exception {
        new LongHeader().play();
    }
}
