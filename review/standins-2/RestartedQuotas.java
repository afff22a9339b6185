import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All gateways are killed at the same time, while tenants with small usage caps stay well below these. */
final class RestartedQuotas {
    private static final int GATEWAYS = 5;
    private static final int TENANTS = 10;
    private static final int RATE = 250;
    private static final int BURST = 2_500;
    private static final int PROMPT_TOKENS = 600;
    private static final int OUTPUT_TOKENS = 100;

    /** Interval of the requests of one tenant: 700 tokens in 3.5 s, four fifths of its rate. */
    private static final long INTERVAL = 3_500;
    private static final long TIME_LIMIT = 4_000;
    private static final long BEFORE = 52_000;
    private static final long KILL = 60_000;
    private static final long DOWN = 1_300;
    private static final long RECOVERY = 12_000;
    private static final long AFTER = 14_000;

    private final Scene scene = new Scene();
    private final Map<String, AtomicInteger> before = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> after = new ConcurrentHashMap<>();
    private volatile long backAt = Long.MAX_VALUE / 2;
    private volatile long start = Long.MAX_VALUE / 2;

    private RestartedQuotas() throws Exception {
    }

    private void configure(int version) {
        List<String> tenants = new ArrayList<>();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            tenants.add("{\"name\":\"tenant" + tenant + "\",\"api_keys\":[\"key-" + tenant
                + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":100,\"rate_per_s\":" + RATE
                + ",\"burst\":" + BURST + "}");
        }
        scene.store.put("op", "config", "{\"version\":" + version + ",\"routes\":[{\"name\":\"chat\","
            + "\"host\":\"ficu95.example\",\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":15000,"
            + "\"target_latency_ms\":500,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"public\":false,"
            + "\"session_affinity\":true,\"stream_resume\":true,\"gap_aim_ms\":300}],\"services\":[{"
            + "\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":620}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[" + String.join(",", tenants) + "]}");
    }

    private void send(int tenant, int number) {
        String id = String.format("%04x%08x", tenant, number);
        String head = Client.head("/chat/q", "ficu95.example", id, "key-" + tenant, TIME_LIMIT,
            "X-Guavahatch-Model: m\r\nX-Guavahatch-Token-Count: " + PROMPT_TOKENS + "," + OUTPUT_TOKENS
                + "\r\nX-Guavahatch-Prompt-Prefix-Hash: 5c1e07a2:60," + id + ":540\r\n", 200);
        Scene.Gateway gateway = scene.gateways.get((tenant + number) % GATEWAYS);
        long sentAt = Scene.now();
        Client.Result result = Client.call(gateway, head, "b".repeat(200), TIME_LIMIT);
        String outcome = result.status() + (result.isWhole() ? "" : " broken off");
        if (sentAt - start > BEFORE && sentAt - start < KILL - 1_000) count(before, outcome);
        if (sentAt - backAt > RECOVERY) count(after, outcome);
        String wait = result.retryAfter() == null ? "" : ", come back after " + result.retryAfter() + " s";
        scene.note("sent " + id + " at " + sentAt + " to " + gateway.name + ": " + outcome + wait);
    }

    private static void count(Map<String, AtomicInteger> outcomes, String outcome) {
        outcomes.computeIfAbsent(outcome, name -> new AtomicInteger()).incrementAndGet();
    }

    private void play() throws Exception {
        configure(1);
        for (int worker = 0; worker < 13; worker++) {
            new Worker(scene.store, "desk", "zone-" + worker % 3, 8, (self, request, answer) -> {
                Scene.sleep(200);
                answer.beginStream();
                for (int event = 1; event <= 8; event++) answer.event(event, "token-" + event);
                answer.endStream();
            });
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            scene.start("front-zone-" + gateway % 3 + "-" + gateway, "zone-" + gateway % 3, scene.store.address());
        }
        scene.awaitReady();
        start = Scene.now();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            int number = tenant;
            Scene.background(() -> {
                Scene.sleep(number * INTERVAL / TENANTS);
                for (int count = 0; ; count++) {
                    int sent = count;
                    Scene.background(() -> send(number, sent));
                    Scene.sleep(start + number * INTERVAL / TENANTS + (count + 1) * INTERVAL - Scene.now());
                }
            });
        }
        Scene.sleep(start + KILL - Scene.now());
        // A change of the configuration is acknowledged just before the fault, which comes in either run.
        configure(2);
        if (scene.hasTrouble) {
            scene.note("all gateways are killed");
            for (Scene.Gateway gateway : scene.gateways) gateway.process.destroyForcibly();
            for (Scene.Gateway gateway : scene.gateways) gateway.process.waitFor();
            Scene.sleep(DOWN);
            for (Scene.Gateway gateway : scene.gateways) scene.restart(gateway);
            for (Scene.Gateway gateway : scene.gateways) while (Scene.readiness(gateway) != 200) Scene.sleep(20);
            scene.note("all gateways are ready again");
        }
        backAt = Scene.now();
        Scene.sleep(RECOVERY + AFTER + 1_000);
        judge();
    }

    private void judge() {
        int sentBefore = before.values().stream().mapToInt(AtomicInteger::get).sum();
        int servedBefore = before.getOrDefault("200", new AtomicInteger()).get();
        int sentAfter = after.values().stream().mapToInt(AtomicInteger::get).sum();
        int servedAfter = after.getOrDefault("200", new AtomicInteger()).get();
        String verdict = "before the fault " + new TreeMap<>(before) + ", sent later than " + RECOVERY
            + " ms after the machines are back " + new TreeMap<>(after);
        if (sentAfter < 20 || servedBefore * 4 < sentBefore || sentBefore == 0) scene.finish(2, verdict);
        scene.finish(servedAfter * 4 < sentAfter ? 1 : 0, verdict);
    }

    public static void main(String[] arguments) throws Exception {
        new RestartedQuotas().play();
    }
}
