import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client hides a request in the body of another one, which names a transfer coding that isn't chunked and has no
 * length. Other clients send the same body with a length.
 */
public final class SmuggledRequest {
    private static final int REQUESTS = 10;
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final List<String> CODINGS = List.of("identity", "gzip", "deflate", "x-chunked");

    private static final Set<String> smuggled = ConcurrentHashMap.newKeySet();
    private static final List<String> changed = new ArrayList<>();

    private SmuggledRequest() {}

    public static void main(String[] arguments) {
        Case.run(arguments, SmuggledRequest::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("look", "safe", TIMEOUT_MILLISECONDS, 1, false) + ","
            + Site.route("order", "non_idempotent", TIMEOUT_MILLISECONDS, 1, false), "\"key-1\"");
        Worker worker = new Worker(0, exchange -> {
            byte[] body = exchange.readBody();
            site.note("worker: runs " + exchange.id() + ", " + exchange.line() + ", " + body.length + " bytes of body");
            if (exchange.id().startsWith("hidden")) {
                smuggled.add(exchange.id());
            } else if (body.length != hiddenRequest(exchange.id()).length) {
                changed.add(exchange.id());
            }
            exchange.answer("done " + exchange.id());
            return true;
        });
        site.list("i-0", worker, 6);
        Site.Gateway gateway = site.startGateway("front-a-1");
        int answered = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = "look-" + number;
            byte[] hidden = hiddenRequest(id);
            String framing = hasTrouble ? "Transfer-Encoding: " + CODINGS.get(number % CODINGS.size())
                : "Content-Length: " + hidden.length;
            String head = "POST /look/1 HTTP/1.1\r\nHost: shop.example\r\nX-Guavahatch-Attempt-Id: " + id
                + "\r\nX-Api-Key: key-1\r\nX-Guavahatch-Time-Budget-Ms: 1500\r\n" + framing + "\r\n\r\n";
            try (Socket socket = gateway.connect()) {
                socket.setSoTimeout(1_000);
                site.note("client: sends " + id + " with " + framing + " and " + hidden.length + " bytes of body");
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(hidden);
                Answer answer = Answer.read(socket.getInputStream());
                site.note("client: " + id + " gets " + answer.status() + ", id " + answer.headers().get("x-guavahatch-attempt-id"));
                answered += answer.status() == 200 ? 1 : 0;
                Answer second = Answer.read(socket.getInputStream());
                if (second.status() != 0) {
                    site.note("client: gets a second answer, " + second.status() + ", id "
                        + second.headers().get("x-guavahatch-attempt-id"));
                }
            }
        }
        site.note("worker: has run " + smuggled.size() + " hidden requests and " + changed.size()
            + " requests without their bodies");
        if (!hasTrouble && answered < REQUESTS) {
            throw new Site.CannotRun("without the disruption only " + answered + " requests are answered");
        }
        return smuggled.isEmpty() && changed.isEmpty() ? null : "UNASKED: a worker ran " + smuggled.size()
            + " requests that were smuggled inside others, and " + changed.size() + " with the body left out";
    }

    private static byte[] hiddenRequest(String id) {
        return ("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Guavahatch-Attempt-Id: hidden-" + id
            + "\r\nX-Api-Key: key-1\r\nX-Guavahatch-Time-Budget-Ms: 1500\r\nContent-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    }
}
