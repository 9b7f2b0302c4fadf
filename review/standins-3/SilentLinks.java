import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Links to nodes. Their sides towards the nodes have the segment size of an Ethernet, a small window and a bandwidth, as
 * the links of the users' pages; loopback has segments of 64 KB and megabytes of buffers. Open connections go silent for
 * good on command, without a reset; new ones work.
 */
final class SilentLinks implements AutoCloseable {
    private static final int SEGMENT_BYTES = 1460;
    private static final int WINDOW_BYTES = 16_384;
    private static final int CHUNK_BYTES = 4096;
    /** The time of a chunk at 200 Mbit/s. */
    private static final long CHUNK_NANOS = 164_000;

    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;

    /** A connection through a link. */
    private static final class Connection {
        private final SocketChannel near;
        private final SocketChannel far;
        private volatile boolean silent;
        private volatile long carried;

        private Connection(SocketChannel near, SocketChannel far) {
            this.near = near;
            this.far = far;
        }
    }

    private final Map<String, ServerSocketChannel> servers = new HashMap<>();
    private final Set<Connection> open = new HashSet<>();
    private boolean armed;
    private int silent;
    private int underWay;

    SilentLinks(List<String> targets) throws IOException {
        try (SocketChannel trial = SocketChannel.open()) {
            setSegmentSize(trial);
        }
        for (String target : targets) {
            int colon = target.lastIndexOf(':');
            InetSocketAddress to =
                    new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(to.getAddress(), 0), 512);
            servers.put(target, server);
            daemon(() -> accept(server, to));
        }
    }

    /** Returns the address of the link to a node. */
    String to(String target) {
        try {
            InetSocketAddress at =
                    (InetSocketAddress) servers.get(target).getLocalAddress();
            return at.getAddress().getHostAddress() + ":" + at.getPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Makes all open connections go silent, once, as soon as one of them has carried some of a large response. */
    synchronized void silenceDuringNextLargeResponse() {
        armed = true;
    }

    /** Withdraws that, and returns whether it had not happened. */
    synchronized boolean disarm() {
        boolean was = armed;
        armed = false;
        return was;
    }

    /** Returns the number of connections that went silent, and on how many a large response was under way. */
    synchronized String counts() {
        return silent + " connections are silent, " + underWay + " of them amid a response";
    }

    private void accept(ServerSocketChannel server, InetSocketAddress to) {
        while (server.isOpen()) {
            try {
                SocketChannel near = server.accept();
                SocketChannel far = SocketChannel.open();
                setSegmentSize(far);
                far.setOption(StandardSocketOptions.SO_RCVBUF, WINDOW_BYTES);
                daemon(() -> connect(new Connection(near, far), to));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Connection connection, InetSocketAddress to) {
        try {
            connection.far.connect(to);
            connection.far.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.near.setOption(StandardSocketOptions.TCP_NODELAY, true);
            synchronized (this) {
                open.add(connection);
            }
            daemon(() -> copy(connection, true));
            copy(connection, false);
        } catch (IOException e) {
            end(connection);
        }
    }

    private void copy(Connection connection, boolean response) {
        SocketChannel from = response ? connection.far : connection.near;
        SocketChannel to = response ? connection.near : connection.far;
        ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES);
        try {
            while (from.read(buffer) >= 0 && !connection.silent) {
                if (response) {
                    connection.carried += buffer.position();
                    if (connection.carried >= 2 * CHUNK_BYTES) {
                        LockSupport.parkNanos(CHUNK_NANOS);
                        strike();
                    }
                } else {
                    connection.carried = 0;
                }
                if (connection.silent) {
                    return;
                }
                buffer.flip();
                while (buffer.hasRemaining()) {
                    to.write(buffer);
                }
                buffer.clear();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        end(connection);
    }

    private synchronized void strike() {
        if (armed) {
            armed = false;
            for (Connection each : open) {
                each.silent = true;
                silent++;
                underWay += each.carried > 0 ? 1 : 0;
            }
            open.clear();
        }
    }

    /** Ends both sides, unless the connection is silent. */
    private void end(Connection connection) {
        if (!connection.silent) {
            synchronized (this) {
                open.remove(connection);
            }
            closeQuietly(connection.near);
            closeQuietly(connection.far);
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // It is gone.
        }
    }

    private static void daemon(Runnable action) {
        Thread thread = new Thread(action, "link");
        thread.setDaemon(true);
        thread.start();
    }

    private static void setSegmentSize(SocketChannel channel) {
        try (ResourceScope scope = ResourceScope.newConfinedScope()) {
            Method descriptor = channel.getClass().getDeclaredMethod("getFDVal");
            descriptor.setAccessible(true);
            int fd = (Integer) descriptor.invoke(channel);
            MethodHandle setsockopt = CLinker.getInstance()
                    .downcallHandle(
                            CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
                            MethodType.methodType(
                                    int.class, int.class, int.class, int.class, MemoryAddress.class, int.class),
                            FunctionDescriptor.of(
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_POINTER,
                                    CLinker.C_INT));
            MemorySegment value = MemorySegment.allocateNative(CLinker.C_INT, scope);
            MemoryAccess.setInt(value, SEGMENT_BYTES);
            int result = (int) setsockopt.invokeExact(fd, IPPROTO_TCP, TCP_MAXSEG, value.address(), 4);
            if (result != 0) {
                throw new IllegalStateException("setsockopt failed");
            }
        } catch (Throwable e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocketChannel server : servers.values()) {
            server.close();
        }
    }
}
