import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: rows with versions, conditional transactions and the feed of changes. */
final class Store {
    private record Row(String value, long version) {
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final ServerSocket server;
    private long version = 1;

    Store() throws IOException {
        server = new ServerSocket(0, 1_000, InetAddress.getByName("127.0.0.1"));
        Scene.background(() -> {
            while (true) {
                Socket socket = server.accept();
                Scene.background(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a row of the operator or of a worker; null deletes it. */
    synchronized void put(String table, String key, String value) {
        write(table, key, value == null ? null : encode(value));
    }

    /** Keys of the rows of {@code table}. */
    synchronized List<String> keys(String table) {
        List<String> keys = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).forEach((key, row) -> {
            if (row.value != null) keys.add(key);
        });
        return keys;
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized void write(String table, String key, String encoded) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(encoded, ++version));
        notifyAll();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readHead(input);
                if (request == null) return;
                Http.readBody(input, request);
                String[] target = request.line.split(" ")[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                if (target.length > 1) {
                    for (String pair : target[1].split("&")) {
                        String[] parts = pair.split("=", 2);
                        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
                    }
                }
                String[] answer = switch (target[0]) {
                    case "/rows-get" -> new String[] {"200", read(query)};
                    case "/rows-feed" -> new String[] {"200", feed(query)};
                    case "/rows-tx" -> transact(new String(request.body, StandardCharsets.UTF_8));
                    default -> new String[] {"404", "{}"};
                };
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n";
                byte[] bytes = new byte[head.length() + body.length];
                System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
                System.arraycopy(body, 0, bytes, head.length(), body.length);
                socket.getOutputStream().write(bytes);
            }
        }
    }

    private synchronized String read(Map<String, String> query) {
        String table = query.get("table");
        String from = query.getOrDefault("from", "");
        List<String> rows = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).tailMap(from).forEach((key, row) -> {
            if (row.value != null) rows.add(text(table, key, row));
        });
        return rows(rows);
    }

    private synchronized String feed(Map<String, String> query) {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = Scene.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Map.Entry<String, Row>> changed = new ArrayList<>();
            for (Map.Entry<String, Row> entry : tables.getOrDefault(table, new TreeMap<>()).entrySet()) {
                if (entry.getValue().version > after) changed.add(entry);
            }
            long left = end - Scene.now();
            if (!changed.isEmpty() || left <= 0) {
                changed.sort((one, other) -> Long.compare(one.getValue().version, other.getValue().version));
                List<String> rows = new ArrayList<>();
                changed.forEach(entry -> rows.add(text(table, entry.getKey(), entry.getValue())));
                return rows(rows);
            }
            try {
                wait(left);
            } catch (InterruptedException exception) {
                return rows(List.of());
            }
        }
    }

    private static String text(String table, String key, Row row) {
        String content = row.value == null ? "\"tombstone\":true" : "\"value\":" + Json.quote(row.value);
        return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + "," + content
            + ",\"ver\":" + row.version + "}";
    }

    private String rows(List<String> rows) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"more_pages\":false,\"ver\":" + version + ",\"now_ms\":"
            + Scene.now() + "}";
    }

    private synchronized String[] transact(String body) {
        Map<String, Object> call = Json.object(Json.parse(body));
        List<String> current = new ArrayList<>();
        boolean isAllowed = true;
        for (Object entry : Json.list(call.get("precondition"))) {
            Map<String, Object> row = Json.object(entry);
            Row known = tables.getOrDefault((String) row.get("table"), new TreeMap<>()).get((String) row.get("key"));
            long knownVersion = known == null || known.value == null ? 0 : known.version;
            if (knownVersion != (Long) row.get("ver")) isAllowed = false;
            if (knownVersion != 0) current.add(text((String) row.get("table"), (String) row.get("key"), known));
        }
        if (!isAllowed) return new String[] {"412", rows(current)};
        for (Object entry : Json.list(call.get("writes"))) {
            Map<String, Object> row = Json.object(entry);
            write((String) row.get("table"), (String) row.get("key"), (String) row.get("value"));
        }
        for (Object entry : Json.list(call.get("delete"))) {
            Map<String, Object> row = Json.object(entry);
            write((String) row.get("table"), (String) row.get("key"), null);
        }
        return new String[] {"200", "{\"ver\":" + version + ",\"now_ms\":" + Scene.now() + "}"};
    }
}
