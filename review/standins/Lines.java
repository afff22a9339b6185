import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;

/** Reads the lines of HTTP heads. */
final class Lines {
    private Lines() {}

    /** The next line without its end, or null at the end of the connection. */
    static String read(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** The headers up to the blank line, with names in lower case. */
    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line = read(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
            line = read(input);
        }
        return headers;
    }
}
