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

/**
 * Serves raw connections: counts each request after its head, writes a fixed response and closes the connection. With
 * an empty response, the first request of a connection is answered and the connection is closed at the second.
 */
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

    /** Serves one connection until it is closed by either side. */
    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (readHead(in)) {
                requests.incrementAndGet();
                if (response.isEmpty()) {
                    connection.getOutputStream().write(KEEP_ALIVE_RESPONSE);
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

    private static final byte[] KEEP_ALIVE_RESPONSE =
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
