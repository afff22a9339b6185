import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker of the platform. What it does with a request is up to its {@link Behaviour}. */
final class Worker {
    /** Reads the rest of a request and answers it; returns whether the connection stays open. */
    interface Behaviour {
        boolean serve(Exchange exchange) throws IOException;
    }

    /** One request, of which the head has been read. */
    record Exchange(Socket socket, InputStream input, String line, Map<String, String> headers) {
        String id() {
            return headers.getOrDefault("x-guavahatch-attempt-id", "");
        }

        int contentLength() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }

        byte[] readBody() throws IOException {
            return input.readNBytes(contentLength());
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** The head of an answer with the headers that every answer of a worker has. */
        String head(String extraHeaders) {
            return "HTTP/1.1 200 OK\r\nX-Guavahatch-Attempt-Id: " + id() + "\r\nX-Guavahatch-Response-Seal: seal-" + id()
                + "\r\n" + extraHeaders + "\r\n";
        }

        void answer(String body) throws IOException {
            write(head("Content-Length: " + body.length() + "\r\n") + body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private final ServerSocket server = new ServerSocket();
    private final Behaviour behaviour;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Starts a worker at any port; its sockets have receive buffers of about {@code receiveBytes}, or usual ones if 0. */
    Worker(int receiveBytes, Behaviour behaviour) throws IOException {
        this(0, receiveBytes, behaviour);
    }

    /** Starts a worker at {@code port}. */
    Worker(int port, int receiveBytes, Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        server.setReuseAddress(true);
        if (receiveBytes > 0) {
            server.setReceiveBufferSize(receiveBytes);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Ends the worker with all its connections, which are reset. */
    void crash() throws IOException {
        crash(true);
    }

    /** Ends the worker; its connections are reset or, as when a process is killed that has read all, closed. */
    void crash(boolean isReset) throws IOException {
        server.close();
        for (Socket socket : sockets) {
            if (isReset) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                start(() -> serveAll(socket));
            }
        } catch (IOException exception) {
            // The worker was closed.
        }
    }

    private void serveAll(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream(), 1024);
            while (true) {
                String line = Lines.read(input);
                if (line == null) {
                    return;
                }
                Map<String, String> headers = Lines.headers(input);
                if (!behaviour.serve(new Exchange(socket, input, line, headers))) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The gateway closed the connection, or the worker crashed.
        } finally {
            sockets.remove(socket);
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }
}
