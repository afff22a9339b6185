import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs gateways as processes with the command of the deploy file, and keeps the record of a case. */
final class Scene implements AutoCloseable {
    interface Action {
        void run() throws Exception;
    }

    private static final long START = System.nanoTime();

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@code action} in a thread of its own; an exception ends only this thread. */
    static Thread background(Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (Exception exception) {
                // The connection has ended.
            }
        }, "stand-in", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One gateway in a process of its own. */
    static final class Gateway {
        String name;
        String zone;
        String storeAddress;
        Process process;
        Path log;
        String callers;
        String readiness;
        String control;
        List<String> command;
        Map<String, String> environment;

        InetSocketAddress callerAddress() {
            return socketAddress(callers);
        }
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    private final List<String> record = new ArrayList<>();
    private final Path repository = Path.of(System.getProperty("repository"));
    private final Path folder = Path.of(System.getProperty("case"));
    private final Path temporary;

    Scene() throws IOException {
        store = new Store();
        temporary = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    synchronized void note(String line) {
        record.add(now() + " " + line);
    }

    /** Milliseconds of the bounds of the small installations. */
    static final Map<String, String> BOUNDS = new LinkedHashMap<>(Map.of(
        "bounds.config_apply_ms", "2000", "bounds.revoke_ms", "5000", "bounds.retry_budget_ratio", "0.2",
        "bounds.budget_slack", "56", "bounds.retry_window_s", "10", "bounds.quota_overage", "0.1",
        "bounds.quota_slack", "72000", "bounds.grace_s", "8", "bounds.drain_ms", "2000"));

    /** Starts a gateway; {@code storeAddress} may be that of a proxy before the store. */
    Gateway start(String name, String zone, String storeAddress) throws IOException {
        Gateway gateway = new Gateway();
        gateway.name = name;
        gateway.zone = zone;
        gateway.storeAddress = storeAddress;
        gateway.log = temporary.resolve(name + ".log");
        prepare(gateway);
        restart(gateway);
        gateways.add(gateway);
        return gateway;
    }

    /** Chooses free ports, and writes the settings with them. */
    private void prepare(Gateway gateway) throws IOException {
        String port = String.valueOf(freePort());
        gateway.callers = "127.0.0.1:" + freePort();
        gateway.readiness = "127.0.0.1:" + freePort();
        gateway.control = "127.0.0.1:" + port;
        Map<String, String> values = new LinkedHashMap<>(BOUNDS);
        values.put("node_name", "\"" + gateway.name + "\"");
        values.put("zone", "\"" + gateway.zone + "\"");
        values.put("listen.front", "\"" + gateway.callers + "\"");
        values.put("listen.ready", "\"" + gateway.readiness + "\"");
        values.put("ip", "127.0.0.1");
        values.put("port_range.0", port);
        values.put("platform.address", "\"" + gateway.storeAddress + "\"");
        Path settings = temporary.resolve(gateway.name + ".jsonc");
        Files.writeString(settings, fill(Files.readString(repository.resolve("deploy/settings.jsonc")), values));
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        gateway.command = new ArrayList<>();
        for (String word : find(deploy, "(?m)^run = \"(.*)\"").split(" ")) {
            gateway.command.add(word.equals("/etc/guavahatch/settings.yaml") ? settings.toString() : word);
        }
        String extra = find(deploy, "GATEWAY_SETTINGS = '(.*)'");
        gateway.environment = Map.of("GATEWAY_SETTINGS", fill(extra, values));
    }

    /** Starts the process of {@code gateway} again. */
    void restart(Gateway gateway) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(gateway.command).directory(repository.toFile());
        builder.environment().putAll(gateway.environment);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(gateway.log.toFile()));
        gateway.process = builder.start();
    }

    private static String find(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) throw new IllegalStateException("not found: " + pattern);
        return matcher.group(1);
    }

    /** Fills in a template as the platform does, with the values that the template uses. */
    private static String fill(String template, Map<String, String> values) {
        String text = template;
        Matcher section = Pattern.compile("\\{\\{([#^])([a-z_.0-9]+)}}((?:(?!\\{\\{[#^/]).)*)\\{\\{/\\2}}").matcher(text);
        while (section.find()) {
            boolean isShown = values.containsKey(section.group(2)) == section.group(1).equals("#");
            text = text.substring(0, section.start()) + (isShown ? section.group(3) : "")
                + text.substring(section.end());
            section.reset(text);
        }
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", value.getValue())
                .replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) throw new IllegalStateException("not filled in: " + text);
        return text;
    }

    static int freePort() throws IOException {
        while (true) {
            int port = 15_000 + (int) (Math.random() * 17_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                 java.net.DatagramSocket datagrams =
                     new java.net.DatagramSocket(port, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException exception) {
                // The port is in use.
            }
        }
    }

    /**
     * Waits until all gateways are ready; ends the case with 2 if they are not within 20 s. One that ends, as another
     * program has taken one of its ports meanwhile, is started with others.
     */
    void awaitReady() throws IOException {
        long end = now() + 20_000;
        for (Gateway gateway : gateways) {
            while (readiness(gateway) != 200) {
                if (!gateway.process.isAlive()) {
                    note(gateway.name + " has ended at its start: " + describe(gateway));
                    prepare(gateway);
                    restart(gateway);
                }
                if (now() > end) finish(2, gateway.name + " is not ready; " + describe(gateway));
                sleep(50);
            }
        }
        sleep(1_500);
    }

    private static String describe(Gateway gateway) {
        String state = gateway.process.isAlive() ? "it runs" : "it ended with " + gateway.process.exitValue();
        try {
            List<String> lines = Files.readAllLines(gateway.log);
            return state + ", last line: " + (lines.isEmpty() ? "none" : lines.get(lines.size() - 1));
        } catch (IOException exception) {
            return state + ", no log";
        }
    }

    static int readiness(Gateway gateway) {
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(gateway.readiness), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message answer = Http.readHead(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException exception) {
            return 0;
        }
    }

    /** Lines of the gateways' logs that contain {@code word}. */
    List<String> logLines(String word) {
        List<String> lines = new ArrayList<>();
        for (Gateway gateway : gateways) {
            try {
                for (String line : Files.readAllLines(gateway.log, StandardCharsets.UTF_8)) {
                    if (line.contains(word)) lines.add(gateway.name + " " + line);
                }
            } catch (IOException exception) {
                lines.add(gateway.name + ": no log");
            }
        }
        return lines;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    private void endProcesses() {
        gateways.forEach(gateway -> gateway.process.destroyForcibly());
        for (Gateway gateway : gateways) {
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                return;
            }
        }
        if (System.getenv("KEEP") != null) return;
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            // Temporary files are left.
        }
    }

    @Override
    public void close() {
        endProcesses();
    }

    /** Exit codes of this program, so that a failure of its own, which ends it with 1, is none of them. */
    private static final int BROKEN = 10;
    private static final int HELD = 11;
    private static final int NOT_RUN = 2;

    /** Writes the record and ends the case: 1 the rule was broken, 0 it held, 2 the case could not run. */
    void finish(int code, String verdict) {
        note("verdict " + code + ": " + verdict);
        synchronized (this) {
            try {
                Files.write(folder.resolve("record.txt"), record);
            } catch (IOException exception) {
                System.err.println(exception);
            }
        }
        System.out.println("exit " + code + ": " + verdict);
        System.exit(code == 1 ? BROKEN : code == 0 ? HELD : NOT_RUN);
    }
}
