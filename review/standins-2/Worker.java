import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a worker: it registers in the store, serves so many requests at once, and may crash and come back. */
final class Worker {
    /** What a worker does with a request that it runs. */
    interface Behaviour {
        void run(Worker worker, Http.Message request, Answer answer) throws Exception;
    }

    /** Writes the answer to one request. */
    static final class Answer {
        final OutputStream output;
        final Http.Message request;
        final Worker worker;
        private final int lifetime;

        Answer(OutputStream output, Http.Message request, Worker worker) {
            this.output = output;
            this.request = request;
            this.worker = worker;
            lifetime = worker.lifetime;
        }

        String id() {
            return request.field("X-Guavahatch-Attempt-Id");
        }

        private String fields() {
            return "X-Guavahatch-Attempt-Id: " + id() + "\r\nX-Guavahatch-Instance-Id: " + worker.id
                + "\r\nX-Guavahatch-Server-Load: " + worker.load() + "\r\nKeep-Alive: timeout=10\r\n";
        }

        void whole(int status, String extra, String body) throws IOException {
            raw("HTTP/1.1 " + status + " X\r\n" + fields() + extra + "Content-Length: " + body.length() + "\r\n\r\n"
                + body);
        }

        void beginStream() throws IOException {
            raw("HTTP/1.1 200 OK\r\n" + fields() + "X-Guavahatch-Response-Seal: seal." + id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(int number, String data) throws IOException {
            String text = "id: " + number + "\ndata: " + data + "\n\n";
            raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void endStream() throws IOException {
            raw("0\r\n\r\n");
        }

        /** Writes nothing after the end of the process that got the request. */
        void raw(String text) throws IOException {
            if (worker.lifetime != lifetime) throw new IOException("The process has ended.");
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    private static final AtomicInteger LIFETIMES = new AtomicInteger(0x10);
    private static final int QUEUE = 48;
    private static final long HEARTBEAT = 1_200;

    final String service;
    final String zone;
    final int slots;
    private final Store store;
    private final Behaviour behaviour;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket server;
    private Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    volatile String id;
    private volatile long born;
    private volatile int lifetime;

    Worker(Store store, String service, String zone, int slots, Behaviour behaviour) throws IOException {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.behaviour = behaviour;
        port = Scene.freePort();
        open();
    }

    String load() {
        return running.get() + "," + waiting.get() + "," + slots + ",100";
    }

    private synchronized void open() throws IOException {
        int current = ++lifetime;
        id = "i-" + String.format("%06x", LIFETIMES.incrementAndGet() * 4_099);
        born = System.currentTimeMillis();
        free = new Semaphore(slots, true);
        running.set(0);
        waiting.set(0);
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        server = opened;
        Semaphore slotsOfThis = free;
        String name = id;
        Scene.background(() -> {
            while (true) {
                Socket socket = opened.accept();
                sockets.add(socket);
                Scene.background(() -> serve(socket, slotsOfThis, current));
            }
        });
        Scene.background(() -> {
            int sequence = 0;
            while (lifetime == current) {
                store.put("servers", name, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                    + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + ++sequence + ",\"born\":" + born
                    + "}");
                Scene.sleep(HEARTBEAT);
            }
        });
    }

    /** Ends the process with all its connections, and starts another one after {@code milliseconds}. */
    void crash(long milliseconds) {
        crash(List.of(this), milliseconds);
    }

    /** As {@link #crash(long)}, of several workers at the same moment: none of them writes anything after it. */
    static void crash(List<Worker> workers, long milliseconds) {
        List<String> ended = new ArrayList<>();
        for (Worker worker : workers) {
            ended.add(worker.id);
            worker.lifetime++;
        }
        List<Thread> threads = new ArrayList<>();
        for (Worker worker : workers) threads.add(Scene.background(worker::closeAll));
        for (int number = 0; number < workers.size(); number++) {
            Worker worker = workers.get(number);
            String id = ended.get(number);
            Scene.background(() -> {
                Scene.sleep(3 * HEARTBEAT);
                worker.store.put("servers", id, null);
            });
            Scene.background(() -> {
                threads.get(workers.indexOf(worker)).join();
                Scene.sleep(milliseconds);
                worker.open();
            });
        }
    }

    private void closeAll() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException exception) {
                // It is closed.
            }
        }
        sockets.clear();
    }

    boolean isRunning(int current) {
        return lifetime == current;
    }

    int lifetime() {
        return lifetime;
    }

    private void serve(Socket socket, Semaphore slotsOfThis, int current) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readHead(input);
                if (request == null) return;
                Http.readBody(input, request);
                Answer answer = new Answer(socket.getOutputStream(), request, this);
                if (!id.equals(request.field("X-Guavahatch-Expect-Instance"))) {
                    answer.whole(421, "X-Guavahatch-Not-Executed: 1\r\n", "");
                    continue;
                }
                if (waiting.get() >= QUEUE) {
                    answer.whole(503, "X-Guavahatch-Not-Executed: 1\r\n", "");
                    continue;
                }
                waiting.incrementAndGet();
                slotsOfThis.acquire();
                waiting.decrementAndGet();
                running.incrementAndGet();
                try {
                    behaviour.run(this, request, answer);
                } finally {
                    if (lifetime == current) running.decrementAndGet();
                    slotsOfThis.release();
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }
}
