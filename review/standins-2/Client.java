import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own and reads its answer. */
final class Client {
    /** What a client has seen: the status, 0 if the connection ended without one, and whether the answer is whole. */
    record Result(int status, boolean isWhole, String body, String retryAfter) {
    }

    private Client() {
    }

    static String head(String path, String host, String id, String key, long budget, String extra, int length) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Guavahatch-Attempt-Id: " + id
            + "\r\nX-Api-Key: " + key + "\r\nX-Guavahatch-Time-Budget-Ms: " + budget + "\r\n" + extra
            + "Content-Length: " + length + "\r\n\r\n";
    }

    static Result call(Scene.Gateway gateway, String head, String body, long budget) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(gateway.callerAddress(), 1_000);
            socket.setSoTimeout((int) budget);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException exception) {
            return new Result(0, false, "", null);
        }
    }

    static Result read(InputStream input) {
        Http.Message answer = null;
        try {
            answer = Http.readHead(input);
            if (answer == null) return new Result(0, false, "", null);
            Http.readBody(input, answer);
            return new Result(answer.status(), answer.isWhole, answer.text(), answer.field("Retry-After"));
        } catch (IOException exception) {
            return new Result(answer == null ? 0 : answer.status(), false, "", null);
        }
    }
}
