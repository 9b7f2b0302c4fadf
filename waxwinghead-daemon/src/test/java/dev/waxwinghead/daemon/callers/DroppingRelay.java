package dev.waxwinghead.daemon.callers;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Relays TCP connections and can drop all bytes of established connections for good while new ones work. */
final class DroppingRelay implements AutoCloseable {
    private final ServerSocket socket;
    private final int target;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    private DroppingRelay(int target) throws IOException {
        this.target = target;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    static DroppingRelay start(int target) throws IOException {
        return new DroppingRelay(target);
    }

    int port() {
        return socket.getLocalPort();
    }

    int connections() {
        return pipes.size() / 2;
    }

    /** Drops all further bytes of the established connections, in both directions, without closing them. */
    void dropEstablishedConnections() {
        pipes.forEach(pipe -> pipe.dropping = true);
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Pipe pipe : pipes) {
            pipe.from.close();
        }
        threads.shutdownNow();
    }

    private void acceptAll() {
        while (!socket.isClosed()) {
            try {
                Socket downstream = socket.accept();
                Socket upstream = new Socket(InetAddress.getLoopbackAddress(), target);
                pipe(downstream, upstream);
                pipe(upstream, downstream);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pipe(Socket from, Socket to) {
        Pipe pipe = new Pipe(from, to);
        pipes.add(pipe);
        threads.execute(pipe::run);
    }

    private static final class Pipe {
        private final Socket from;
        private final Socket to;
        private volatile boolean dropping;

        private Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        private void run() {
            byte[] buffer = new byte[16 * 1024];
            try (from;
                    to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!dropping) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                // One side closed the connection.
            }
        }
    }
}
