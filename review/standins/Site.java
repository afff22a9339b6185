import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: a store, workers, and gateways that are started as the deploy file says.
 * Everything that is sent, answered and run is written to record.txt in the folder of the case.
 */
final class Site implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^{}]*)}}");

    private static final int SECONDS_TO_END = 5;

    final Store store = new Store();
    private final Path root;
    private final Path temporary = Files.createTempDirectory("review");
    private final PrintWriter record;
    private final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    private final long startedAt = System.nanoTime();
    private boolean isEnding;

    Site(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        // Ends the gateways also if the case itself is ended by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000L;
    }

    void note(String text) {
        String line = String.format("%7d ms  %s", now(), text.replaceAll("[^\\x20-\\x7e]", "?"));
        synchronized (record) {
            record.println(line);
        }
    }

    /** Writes a configuration with the {@code routes} and one tenant, without a limit, whose keys are {@code keys}. */
    void configure(int version, String routes, String keys) {
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],"
            + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":620}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shop\",\"api_keys\":[" + keys + "]}]}");
        note("operator: configuration " + version + " is confirmed, keys " + keys);
    }

    static String route(String name, String kind, int timeout, int attempts, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"app\","
            + "\"max_attempts\":" + attempts + ",\"public\":false,\"session_affinity\":false,\"stream_resume\":" + resume
            + ",\"gap_aim_ms\":300}";
    }

    /** Lists {@code worker} as ready. */
    void list(String id, Worker worker, int slots) {
        store.put("servers", id, "{\"service\":\"app\",\"address\":\"" + worker.address() + "\",\"zone\":\"zone-a\","
            + "\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
            + "\"born\":" + System.currentTimeMillis() + "}");
    }

    /** Starts a gateway with the command of the deploy file and waits until it is ready and lists the workers. */
    Gateway startGateway(String name) throws IOException, InterruptedException {
        Gateway gateway = gateway(name);
        gateway.start();
        for (int attempt = 0; attempt < 200; attempt++) {
            if (gateway.readiness() == 200) {
                Thread.sleep(500);
                note(name + ": is ready");
                return gateway;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("the gateway " + name + " does not become ready");
    }

    /** A gateway that is not started yet. */
    Gateway gateway(String name) throws IOException {
        Gateway gateway = new Gateway(name);
        gateways.add(gateway);
        return gateway;
    }

    @Override
    public void close() {
        cleanUp();
        store.close();
        record.close();
    }

    /** Ends all gateways, of which no more can be started then, and deletes the temporary folder. */
    private synchronized void cleanUp() {
        isEnding = true;
        gateways.forEach(Gateway::kill);
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            // The folder is deleted already.
        }
    }

    private synchronized Process startProcess(ProcessBuilder builder) throws IOException {
        if (isEnding) {
            throw new CannotRun("the case is ending");
        }
        return builder.start();
    }

    /** The case could not be played. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    /** A gateway process. */
    final class Gateway {
        final String name;
        private final Map<String, String> addresses = new HashMap<>();
        private Process process;

        private Gateway(String name) throws IOException {
            this.name = name;
            for (String use : List.of("callers", "readiness", "control")) {
                addresses.put(use, "127.0.0.1:" + freePort());
            }
        }

        String address() {
            return addresses.get("callers");
        }

        void start() throws IOException {
            Path settings = temporary.resolve(name + ".jsonc");
            Files.writeString(settings, fill(Files.readString(root.resolve("deploy/settings.jsonc"))));
            List<String> command = new ArrayList<>();
            for (String word : runCommand().split(" ")) {
                command.add(word.equals("/etc/guavahatch/settings.yaml") ? settings.toString() : word);
            }
            process = startProcess(new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(temporary.resolve(name + ".log").toFile()));
            note(name + ": process " + process.pid() + " is started");
        }

        private String runCommand() throws IOException {
            Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!matcher.find()) {
                throw new CannotRun("the deploy file has no command");
            }
            return matcher.group(1);
        }

        /** Fills in the platform's fields, with the figures of the site nfh-guavahatch. */
        private String fill(String template) {
            Map<String, String> fields = new HashMap<>();
            fields.put("node_name|json", '"' + name + '"');
            fields.put("zone|json", "\"zone-a\"");
            fields.put("listen.front|json", '"' + addresses.get("callers") + '"');
            fields.put("listen.ready|json", '"' + addresses.get("readiness") + '"');
            fields.put("ip", "127.0.0.1");
            fields.put("port_range.0", addresses.get("control").substring("127.0.0.1:".length()));
            fields.put("platform.address|json", '"' + store.address() + '"');
            fields.put("bounds.config_apply_ms", "2000");
            fields.put("bounds.revoke_ms", "5000");
            fields.put("bounds.retry_budget_ratio", "0.2");
            fields.put("bounds.budget_slack", "56");
            fields.put("bounds.retry_window_s", "10");
            fields.put("bounds.quota_overage", "0.1");
            fields.put("bounds.quota_slack", "72000");
            fields.put("bounds.grace_s", "8");
            fields.put("bounds.drain_ms", "2000");
            // All fields have a value, so sections are kept and inverted sections are left out.
            String text = template.replaceAll("\\{\\{\\^([^{}]*)}}.*?\\{\\{/\\1}}", "")
                .replaceAll("\\{\\{#([^{}]*)}}(.*?)\\{\\{/\\1}}", "$2");
            return PLACEHOLDER.matcher(text).replaceAll(match -> {
                String value = fields.get(match.group(1));
                if (value == null) {
                    throw new CannotRun("unknown placeholder " + match.group(1));
                }
                return Matcher.quoteReplacement(value);
            });
        }

        Socket connect() throws IOException {
            return new Socket("127.0.0.1", port(address()));
        }

        int readiness() {
            try (Socket socket = new Socket("127.0.0.1", port(addresses.get("readiness")))) {
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                String line = Lines.read(socket.getInputStream());
                return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
            } catch (IOException exception) {
                return 0;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            note(name + ": SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits for the end of the process; null if it still runs after {@code seconds}. */
        Integer await(int seconds) throws InterruptedException {
            return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : null;
        }

        List<String> log() throws IOException {
            return Files.readAllLines(temporary.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
        }

        void kill() {
            if (process != null) {
                try {
                    process.destroyForcibly().waitFor(SECONDS_TO_END, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
