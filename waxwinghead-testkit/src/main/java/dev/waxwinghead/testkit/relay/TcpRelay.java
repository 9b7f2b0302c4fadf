package dev.waxwinghead.testkit.relay;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Relays TCP connections to a target and simulates failures of the network in between.
 *
 * <p>Five failures can be simulated: {@link #cut()} closes all connections and refuses new ones, {@link #drop()}
 * discards all bytes while connections stay open, {@link #freeze()} holds all bytes back until {@link #heal()},
 * {@link #freezeReplies()} those from the target only, and {@link #dropEstablished()} permanently discards all bytes of
 * the connections established so far while new ones work. Thread-safe.
 *
 * @since 0.1
 */
public final class TcpRelay implements AutoCloseable {
    private final InetSocketAddress target;
    private final ServerSocket server;
    private final ExecutorService executor = Executors.newCachedThreadPool(TcpRelay::daemonThread);
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final RelayGate gate = new RelayGate();
    private final RelayGate replyGate = new RelayGate();
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong failedAccepts = new AtomicLong();

    private TcpRelay(InetSocketAddress target, ServerSocket server) {
        this.target = target;
        this.server = server;
    }

    /**
     * Opens a relay.
     *
     * @param listen the address on which to accept connections; port 0 selects a free port
     * @param target the address to relay connections to; need not be listening yet
     * @return the relay, never null
     * @throws WaxwingheadException of kind {@code UNAVAILABLE} if the port can't be opened
     */
    public static TcpRelay open(InetSocketAddress listen, InetSocketAddress target) {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(listen);
            TcpRelay relay = new TcpRelay(target, server);
            relay.executor.execute(relay::acceptAll);
            return relay;
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "could not listen on " + listen + ": " + e.getMessage(),
                    "free the port or give another one",
                    e);
        }
    }

    /**
     * Returns the address on which the relay accepts connections.
     *
     * @return the address with the actual port, never null
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Closes all connections and refuses new ones until {@link #heal()}. */
    public void cut() {
        gate.set(RelayGate.Mode.REFUSING);
        connections.forEach(RelayedConnection::close);
    }

    /** Discards all bytes of all connections, established and new, without closing any, until {@link #heal()}. */
    public void drop() {
        gate.set(RelayGate.Mode.DROPPING);
        connections.forEach(RelayedConnection::dropTraffic);
    }

    /** Holds back all bytes of all connections, established and new, until {@link #heal()}. */
    public void freeze() {
        gate.set(RelayGate.Mode.FROZEN);
    }

    /** Holds back all bytes from the target, of connections established and new, until {@link #heal()}. */
    public void freezeReplies() {
        replyGate.set(RelayGate.Mode.FROZEN);
    }

    /** Discards all further bytes of the connections established so far without closing them. New connections work. */
    public void dropEstablished() {
        connections.forEach(RelayedConnection::dropTraffic);
    }

    /** Ends a cut, a freeze or a drop. Connections that have lost bytes remain silent. */
    public void heal() {
        gate.set(RelayGate.Mode.PASSING);
        replyGate.set(RelayGate.Mode.PASSING);
    }

    /**
     * Returns the number of accepted connections.
     *
     * @return the number of connections
     */
    public long acceptedConnections() {
        return accepted.get();
    }

    /**
     * Returns the number of connections that failed before they were accepted.
     *
     * @return the number of connections
     */
    public long failedAccepts() {
        return failedAccepts.get();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                accept(server.accept());
            } catch (IOException e) {
                failedAccepts.incrementAndGet();
            }
        }
    }

    private void accept(Socket client) throws IOException {
        accepted.incrementAndGet();
        if (gate.mode() == RelayGate.Mode.REFUSING) {
            client.close();
            return;
        }
        RelayedConnection connection = RelayedConnection.of(client, gate, replyGate);
        connections.add(connection);
        if (gate.mode() == RelayGate.Mode.DROPPING) {
            connection.dropTraffic();
        }
        executor.execute(() -> {
            connection.run(target, executor);
            connections.removeIf(RelayedConnection::closed);
        });
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "could not close the relay", "see the cause", e);
        } finally {
            connections.forEach(RelayedConnection::close);
            gate.set(RelayGate.Mode.REFUSING);
            executor.shutdownNow();
        }
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "tcp-relay");
        thread.setDaemon(true);
        return thread;
    }
}
