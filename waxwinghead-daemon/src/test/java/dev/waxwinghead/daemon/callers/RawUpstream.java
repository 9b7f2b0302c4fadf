package dev.waxwinghead.daemon.callers;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A socket that reads the head of each request, counts it, writes fixed bytes and closes the connection. */
final class RawUpstream implements AutoCloseable {
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger requests = new AtomicInteger();
    private final String response;

    private RawUpstream(String response) throws IOException {
        this.response = response;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    static RawUpstream start(String response) throws IOException {
        return new RawUpstream(response);
    }

    int port() {
        return socket.getLocalPort();
    }

    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }

    private void acceptAll() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                threads.execute(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers the first request of a connection with {@code 200}, then breaks off at the second. */
    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (readHead(in)) {
                requests.incrementAndGet();
                if (response.isEmpty()) {
                    connection.getOutputStream().write(KEPT_ALIVE);
                    readHead(in);
                    requests.incrementAndGet();
                    return;
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                return;
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }

    private static final byte[] KEPT_ALIVE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    private static boolean readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return true;
    }
}
