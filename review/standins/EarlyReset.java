import java.net.Socket;

/**
 * A worker answers before it has read a long request, without a length, and crashes in the middle of its answer.
 * Without the disruption it completes the answer and reads the rest of the request.
 */
public final class EarlyReset {
    private static final int REQUESTS = 5;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 2_000;

    public static void main(String[] arguments) {
        Case.run(arguments, EarlyReset::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("order", "non_idempotent", 10_000, 1, false), "\"key-1\"");
        Worker worker = new Worker(65_536, exchange -> serve(site, exchange, hasTrouble));
        site.list("i-1", worker, 8);
        Site.Gateway gateway = site.startGateway("front-a-1");
        int truncated = 0;
        int complete = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = "attempt-" + number;
            try (Socket socket = gateway.connect()) {
                socket.setSoTimeout(12_000);
                Case.send(socket, "/order/1", id, 10_000, new byte[REQUEST_BYTES]);
                Answer answer = Answer.read(socket.getInputStream());
                site.note("client: " + id + " gets " + answer.status() + ", seal: " + answer.isSealed() + ", bytes: "
                    + answer.body().length() + ", looks complete: " + answer.isComplete() + " " + answer.headers());
                boolean looksServed = answer.status() == 200 && answer.isSealed() && answer.isComplete();
                if (looksServed && answer.body().length() == ANSWER_BYTES) {
                    complete++;
                } else if (looksServed) {
                    truncated++;
                }
            }
        }
        if (!hasTrouble && complete < REQUESTS) {
            throw new Site.CannotRun("without the disruption only " + complete + " answers were complete");
        }
        return truncated == 0 ? null : "MIXED: " + truncated + " of " + REQUESTS
            + " clients got a success that looks complete and holds a part of the worker's body";
    }

    private static boolean serve(Site site, Worker.Exchange exchange, boolean hasTrouble) throws java.io.IOException {
        int readAtFirst = 10_000;
        exchange.input().readNBytes(readAtFirst);
        site.note("worker: has read " + readAtFirst + " of " + exchange.contentLength() + " bytes of " + exchange.id()
            + ", runs it and answers without a length");
        exchange.write(exchange.head("Connection: close\r\n") + "x".repeat(ANSWER_BYTES / 2));
        Case.sleep(300);
        if (hasTrouble) {
            site.note("worker: crashes after " + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES + " bytes of the answer to "
                + exchange.id() + "; its connection is reset");
            exchange.reset();
            return false;
        }
        exchange.write("x".repeat(ANSWER_BYTES / 2));
        exchange.input().readNBytes(exchange.contentLength() - readAtFirst);
        site.note("worker: has answered " + exchange.id() + " and read all of it");
        return false;
    }
}
