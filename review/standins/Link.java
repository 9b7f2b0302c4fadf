import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The network link of a worker to the core hosts: a proxy that can be cut, in the direction to the worker or in both. */
final class Link implements AutoCloseable {
    private final Map<String, ServerSocket> proxies = new ConcurrentHashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean cutToWorker;
    private volatile boolean cutFromWorker;
    private volatile boolean closed;

    /** Returns the address of the proxy for an address of a core host. */
    String through(String target) throws IOException {
        ServerSocket proxy = proxies.get(target);
        if (proxy == null) {
            proxy = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            proxies.put(target, proxy);
            ServerSocket opened = proxy;
            start(() -> accept(opened, target));
        }
        return "127.0.0.1:" + proxy.getLocalPort();
    }

    /** From now on, nothing that the core hosts send reaches the worker, and no new connection is made. */
    void cutToWorker() {
        cutToWorker = true;
    }

    /** From now on, nothing passes. */
    void cut() {
        cutFromWorker = true;
        cutToWorker = true;
    }

    private void accept(ServerSocket proxy, String target) {
        while (!closed) {
            try {
                Socket worker = proxy.accept();
                keep(worker);
                if (cutToWorker) {
                    continue;
                }
                int colon = target.lastIndexOf(':');
                Socket core = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
                core.setTcpNoDelay(true);
                worker.setTcpNoDelay(true);
                keep(core);
                start(() -> copy(worker, core, false));
                start(() -> copy(core, worker, true));
            } catch (IOException e) {
                if (proxy.isClosed()) {
                    return;
                }
            }
        }
    }

    private void copy(Socket from, Socket to, boolean towardsWorker) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (!isCut(towardsWorker)) {
                    out.write(buffer, 0, length);
                }
            }
            if (!isCut(towardsWorker)) {
                to.close();
            }
        } catch (IOException e) {
            // The connection has ended on one side.
        }
    }

    private boolean isCut(boolean towardsWorker) {
        return towardsWorker ? cutToWorker : cutFromWorker;
    }

    private synchronized void keep(Socket socket) {
        sockets.add(socket);
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "link");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        for (ServerSocket proxy : proxies.values()) {
            proxy.close();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
