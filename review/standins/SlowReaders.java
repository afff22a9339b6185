import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway gets SIGTERM while clients on lines of about 12 Mbit/s receive long streams that their workers complete in time. */
public final class SlowReaders {
    private static final int CLIENTS = 6;
    private static final int FEWEST_EVENTS = 138;
    private static final int EVENT_BYTES = 64_000;
    private static final int LAST_EVENT_BYTES = 600_000;
    private static final int BYTES_PER_STEP = 16_000;
    private static final int STEP_MILLISECONDS = 10;
    private static final int TIMEOUT_MILLISECONDS = 15_000;
    private static final int GRACE_MILLISECONDS = 8_000;

    private final Site site;
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile long stoppedAt = Long.MAX_VALUE;

    private SlowReaders(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (site, hasTrouble) -> new SlowReaders(site).play(hasTrouble));
    }

    private String play(boolean hasTrouble) throws Exception {
        site.configure(1, Site.route("brief", "streaming", TIMEOUT_MILLISECONDS, 1, false), "\"key-1\"");
        Worker worker = new Worker(0, this::serve);
        site.list("i-0", worker, 8);
        Site.Gateway gateway = site.startGateway("front-a-1");
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String id = "brief-" + number;
            clients.add(Case.start(() -> request(gateway, id)));
        }
        Case.sleep(500);
        if (hasTrouble) {
            gateway.signal("TERM");
            stoppedAt = site.now();
            site.note("front-a-1: exits with " + gateway.await(9));
        }
        for (Thread client : clients) {
            client.join();
        }
        site.note("clients: " + complete + " of " + CLIENTS + " streams were whole, " + cut + " were cut");
        if (!hasTrouble && complete.get() < CLIENTS) {
            throw new Site.CannotRun("without the disruption only " + complete + " streams were whole");
        }
        return cut.get() == 0 ? null : "LOST: " + cut + " streams ended without a complete answer";
    }

    private boolean serve(Worker.Exchange exchange) throws IOException {
        exchange.readBody();
        site.note("worker: runs " + exchange.id());
        exchange.write(exchange.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        int client = Integer.parseInt(exchange.id().substring("brief-".length()));
        int events = FEWEST_EVENTS + 2 * client;
        for (int number = 1; number <= events; number++) {
            String event = "id: " + number + "\ndata: " + "x".repeat(number < events ? EVENT_BYTES : LAST_EVENT_BYTES) + "\n\n";
            exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        exchange.write("0\r\n\r\n");
        site.note("worker: has answered " + exchange.id());
        return true;
    }

    private void request(Site.Gateway gateway, String id) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.connect(new InetSocketAddress("127.0.0.1", Integer.parseInt(gateway.address().split(":")[1])));
            socket.setSoTimeout(TIMEOUT_MILLISECONDS);
            Case.send(socket, "/brief/1", id, TIMEOUT_MILLISECONDS, "a brief".getBytes());
            long sentAt = site.now();
            site.note("client: sends " + id);
            Answer answer = Answer.read(new SlowLine(socket.getInputStream()));
            long endedAt = site.now();
            String last = answer.body().isEmpty() ? "none" : answer.body().substring(Math.max(0, answer.body().lastIndexOf("id: "))).lines().findFirst().orElse("");
            site.note("client: " + id + " gets " + answer.status() + ", " + answer.body().length() + " bytes, last event " + last
                + ", " + (endedAt - sentAt) + " ms after it was sent"
                + (answer.isComplete() ? ", whole" : ", " + answer.problem()));
            if (answer.isComplete()) {
                complete.incrementAndGet();
            } else if (endedAt - sentAt < TIMEOUT_MILLISECONDS && endedAt - stoppedAt < GRACE_MILLISECONDS) {
                cut.incrementAndGet();
            }
        } catch (IOException exception) {
            site.note("client: " + id + ": " + exception);
        }
    }

    /** Passes on the bytes of {@code input} at the rate of the line. */
    private static final class SlowLine extends InputStream {
        private final InputStream input;
        private int left = BYTES_PER_STEP;

        SlowLine(InputStream input) {
            this.input = input;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            if (left == 0) {
                Case.sleep(STEP_MILLISECONDS);
                left = BYTES_PER_STEP;
            }
            int count = input.read(buffer, offset, Math.min(length, left));
            left -= Math.max(count, 0);
            return count;
        }
    }
}
