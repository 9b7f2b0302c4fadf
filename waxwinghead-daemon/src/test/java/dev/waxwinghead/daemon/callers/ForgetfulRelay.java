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

/** Relays connections, and can make those that stand silent for good while new ones work. */
final class ForgetfulRelay implements AutoCloseable {
    private final ServerSocket socket;
    private final int target;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

    private ForgetfulRelay(int target) throws IOException {
        this.target = target;
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    static ForgetfulRelay start(int target) throws IOException {
        return new ForgetfulRelay(target);
    }

    int port() {
        return socket.getLocalPort();
    }

    int connections() {
        return pipes.size() / 2;
    }

    /** Drops all further bytes of the connections that stand, in both directions, without closing them. */
    void forgetAll() {
        pipes.forEach(pipe -> pipe.silent = true);
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
                Socket near = socket.accept();
                Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
                pipe(near, far);
                pipe(far, near);
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
        private volatile boolean silent;

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
                    if (!silent) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                // One side closed the connection.
            }
        }
    }
}
