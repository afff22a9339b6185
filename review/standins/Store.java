import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store in memory: rows, unconditional transactions and the feed of changes. */
final class Store {
    private record Row(String value, long version) {}

    private static final Pattern ROW = Pattern.compile(
        "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\"(?:,\"value\":\"([^\"]*)\")?\\}");

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(runnable -> {
        Thread thread = new Thread(runnable);
        thread.setDaemon(true);
        return thread;
    });
    private long version = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(executor);
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row; a null value deletes it. */
    synchronized void put(String table, String key, String value) {
        write(table, key, value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized int rows(String table) {
        return (int) tables.getOrDefault(table, new TreeMap<>()).values().stream().filter(row -> row.value != null).count();
    }

    void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private synchronized void write(String table, String key, String encoded) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(encoded, ++version));
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String answer;
        try {
            answer = switch (exchange.getRequestURI().getPath()) {
                case "/rows-get" -> page(query);
                case "/rows-feed" -> feed(query);
                case "/rows-tx" -> transact(body);
                default -> null;
            };
        } catch (InterruptedException exception) {
            exchange.close();
            return;
        }
        if (answer == null) {
            exchange.sendResponseHeaders(404, -1);
            exchange.close();
            return;
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String page(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        TreeMap<String, Row> rows = new TreeMap<>(tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from, true));
        rows.values().removeIf(row -> row.value == null);
        return response(query.get("table"), rows);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
        while (true) {
            TreeMap<String, Row> changed = new TreeMap<>(tables.getOrDefault(query.get("table"), new TreeMap<>()));
            changed.values().removeIf(row -> row.version <= after);
            long left = (end - System.nanoTime()) / 1_000_000L;
            if (!changed.isEmpty() || left <= 0) {
                return response(query.get("table"), changed);
            }
            wait(left);
        }
    }

    private synchronized String transact(String body) {
        int delete = body.indexOf("\"delete\"");
        Matcher matcher = ROW.matcher(body);
        while (matcher.find()) {
            write(matcher.group(1), matcher.group(3), matcher.start() > delete ? null : matcher.group(4));
        }
        return "{\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000L + "}";
    }

    private String response(String table, Map<String, Row> rows) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        rows.forEach((key, row) -> {
            if (text.charAt(text.length() - 1) != '[') {
                text.append(',');
            }
            text.append("{\"table\":\"").append(table).append("\",\"part\":\"\",\"key\":\"").append(key).append("\",");
            text.append(row.value == null ? "\"tombstone\":true" : "\"value\":\"" + row.value + "\"");
            text.append(",\"ver\":").append(row.version).append('}');
        });
        return text.append("],\"more_pages\":false,\"ver\":").append(version)
            .append(",\"now_ms\":").append(System.nanoTime() / 1_000_000L).append('}').toString();
    }
}
