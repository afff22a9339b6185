import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A request or response: its first line, its header fields and its body. */
    static final class Message {
        String line = "";
        final List<String[]> fields = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the body has ended as its framing says. */
        boolean isWhole;

        String field(String name) {
            for (String[] field : fields) if (field[0].equalsIgnoreCase(name)) return field[1];
            return null;
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {
    }

    /** Reads a head, or returns null if the stream ends before it. */
    static Message readHead(InputStream input) throws IOException {
        Message message = new Message();
        String line = readLine(input);
        if (line == null) return null;
        message.line = line;
        while (true) {
            line = readLine(input);
            if (line == null) return null;
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    /** Reads the body of {@code message}; isWhole tells whether it ended in order. */
    static void readBody(InputStream input, Message message) throws IOException {
        String coding = message.field("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            while (true) {
                String size = readLine(input);
                if (size == null) break;
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = input.readNBytes(length);
                body.write(chunk);
                if (chunk.length < length || readLine(input) == null) break;
                if (length == 0) {
                    message.isWhole = true;
                    break;
                }
            }
            message.body = body.toByteArray();
            return;
        }
        String length = message.field("Content-Length");
        int bytes = length == null ? 0 : Integer.parseInt(length);
        message.body = input.readNBytes(bytes);
        message.isWhole = message.body.length == bytes;
    }

    static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') break;
            line.append((char) next);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }
}
