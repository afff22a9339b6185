import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Five gateways, model workers and the traffic of chat sessions: each request of a session has one more part in its
 * prompt. The figures are those of the smaller installations.
 */
abstract class Chat {
    /** A request as its client sends it. */
    record Prompt(List<String> parts, int tenant) {
    }

    static final int GATEWAYS = 5;
    static final int SLOTS = 8;
    static final int SESSIONS = 60;
    static final double PER_SECOND = 68;
    static final long TIME_LIMIT = 4_000;

    final Scene scene;
    final Random random = new Random();
    final List<Worker> workers = new ArrayList<>();
    final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private final List<List<String>> sessions = new ArrayList<>();
    private final int digits;
    private final int leastTurns;
    private final int mostTurns;
    private int number;

    /**
     * @param digits hexadecimal digits of the id of a part
     * @param firstParts different first parts, one of which each session has
     * @param leastTurns shared parts behind the first one that a session has at least
     */
    Chat(int workerCount, int digits, int firstParts, int leastTurns, int mostTurns) throws Exception {
        scene = new Scene();
        this.digits = digits;
        this.leastTurns = leastTurns;
        this.mostTurns = mostTurns;
        configure();
        for (int worker = 0; worker < workerCount; worker++) {
            workers.add(new Worker(scene.store, "desk", "zone-" + worker % 3, SLOTS, this::run));
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            scene.start("front-zone-" + gateway % 3 + "-" + gateway, "zone-" + gateway % 3, scene.store.address());
        }
        scene.awaitReady();
        List<String> first = new ArrayList<>();
        for (int part = 0; part < firstParts; part++) first.add(part());
        for (int session = 0; session < SESSIONS; session++) {
            List<String> parts = new ArrayList<>(List.of(first.get(session % firstParts)));
            int turns = leastTurns + random.nextInt(mostTurns - leastTurns + 1);
            for (int turn = 0; turn < turns; turn++) parts.add(part());
            sessions.add(parts);
        }
    }

    /** Called when a request has reached a worker. */
    abstract void onArrival(Http.Message request);

    /** What a worker does with a request before it answers; false if it does not answer. */
    abstract boolean begin(Worker worker, Http.Message request);

    /** Called with each answer that a client has got. */
    abstract void onResult(String kind, long sentAt, Client.Result result);

    final String part() {
        StringBuilder text = new StringBuilder();
        while (text.length() < digits) text.append(Integer.toHexString(random.nextInt(16)));
        return text.toString();
    }

    private void run(Worker worker, Http.Message request, Worker.Answer answer) throws Exception {
        int lifetime = worker.lifetime();
        onArrival(request);
        Scene.sleep(350 + random.nextInt(300));
        if (!worker.isRunning(lifetime) || !begin(worker, request)) return;
        answer.beginStream();
        for (int event = 1; event <= 8; event++) {
            answer.event(event, "token-" + event);
            Scene.sleep(40);
        }
        answer.endStream();
    }

    /** Writes a configuration with one route, to streams that may not be resumed, and five tenants. */
    final void configure() {
        List<String> tenants = new ArrayList<>();
        for (int tenant = 0; tenant < 5; tenant++) {
            tenants.add("{\"name\":\"tenant" + tenant + "\",\"api_keys\":[\"key-" + tenant
                + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":100,\"rate_per_s\":400000,"
                + "\"burst\":400000}");
        }
        scene.store.put("op", "config", "{\"version\":" + ++version + ",\"routes\":[{\"name\":\"staff\","
            + "\"host\":\"ficu95.example\",\"prefix\":\"/staff/\",\"kind\":\"streaming\",\"timeout_ms\":" + TIME_LIMIT
            + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"public\":false,"
            + "\"session_affinity\":true,\"stream_resume\":false,\"gap_aim_ms\":300}],\"services\":[{"
            + "\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":620}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[" + String.join(",", tenants) + "]}");
    }

    private int version;

    /** A prompt of a session, without the part of the request's own. */
    final Prompt anySession() {
        int session = random.nextInt(SESSIONS);
        return new Prompt(new ArrayList<>(sessions.get(session)), session % 5);
    }

    final void send(String kind, int count, Prompt prompt) {
        Scene.background(() -> {
            StringBuilder parts = new StringBuilder();
            for (String part : prompt.parts) parts.append(parts.isEmpty() ? "" : ",").append(part).append(":120");
            String id = String.format("%s%08x", kind.equals("sound") ? "50fa" : "dead", count);
            String head = Client.head("/staff/q", "ficu95.example", id, "key-" + prompt.tenant, TIME_LIMIT,
                "X-Guavahatch-Model: m\r\nX-Guavahatch-Token-Count: " + prompt.parts.size() * 120
                    + ",80\r\nX-Guavahatch-Prompt-Prefix-Hash: " + parts + "\r\n", 200);
            Scene.Gateway gateway = scene.gateways.get(count % GATEWAYS);
            long sentAt = Scene.now();
            Client.Result result = Client.call(gateway, head, "b".repeat(200), TIME_LIMIT);
            String outcome = kind + " " + result.status() + (result.isWhole() ? "" : " broken off");
            outcomes.computeIfAbsent(outcome, name -> new AtomicInteger()).incrementAndGet();
            onResult(kind, sentAt, result);
            String wait = result.retryAfter() == null ? "" : ", come back after " + result.retryAfter() + " s";
            scene.note("sent " + id + " at " + sentAt + " to " + gateway.name + ": " + outcome + wait);
        });
    }

    /** Sends the next request of a session. */
    final void sendSound(long start) {
        Scene.sleep(start + (long) (number * 1_000 / PER_SECOND) - Scene.now());
        int session = random.nextInt(SESSIONS);
        List<String> parts = sessions.get(session);
        List<String> prompt = new ArrayList<>(parts);
        String own = part();
        prompt.add(own);
        send("sound", number++, new Prompt(prompt, session % 5));
        if (parts.size() > mostTurns) parts.subList(1 + leastTurns, parts.size()).clear();
        parts.add(own);
    }

    final int total() {
        return outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    final int served() {
        return outcomes.getOrDefault("sound 200", new AtomicInteger()).get();
    }
}
