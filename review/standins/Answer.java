import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An answer as a client reads it.
 *
 * @param status the status, or 0 if the connection ended before a head
 * @param isComplete whether the body has the length that the head states, or ends with the last chunk
 * @param problem how the connection ended if the answer is not complete
 */
record Answer(int status, Map<String, String> headers, String body, boolean isComplete, String problem) {
    boolean isSealed() {
        return headers.containsKey("x-guavahatch-response-seal");
    }

    static Answer read(InputStream input) {
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String line = Lines.read(input);
            if (line == null) {
                return new Answer(0, headers, "", false, "closed without an answer");
            }
            status = Integer.parseInt(line.split(" ")[1]);
            headers = Lines.headers(input);
            String problem = headers.getOrDefault("transfer-encoding", "").equals("chunked")
                ? readChunks(input, body) : readLength(input, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
            return new Answer(status, headers, body.toString(StandardCharsets.ISO_8859_1), problem == null, problem);
        } catch (IOException exception) {
            return new Answer(status, headers, body.toString(StandardCharsets.ISO_8859_1), false, exception.getMessage());
        }
    }

    private static String readLength(InputStream input, int length, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[8192];
        while (body.size() < length) {
            int count = input.read(buffer, 0, Math.min(buffer.length, length - body.size()));
            if (count < 0) {
                return "closed after " + body.size() + " of " + length + " bytes";
            }
            body.write(buffer, 0, count);
        }
        return null;
    }

    private static String readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = Lines.read(input);
            if (line == null) {
                return "closed after " + body.size() + " bytes, before the last chunk";
            }
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = input.readNBytes(size);
            if (chunk.length < size) {
                return "closed inside a chunk";
            }
            body.write(chunk);
            Lines.read(input);
            if (size == 0) {
                return null;
            }
        }
    }
}
