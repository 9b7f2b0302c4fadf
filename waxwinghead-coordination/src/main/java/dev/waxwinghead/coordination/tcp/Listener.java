package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts and serves the connections of peers. */
final class Listener implements AutoCloseable {
    /** The maximum number of connections without a handshake, to limit the threads that other clients can occupy. */
    private static final int MAX_PENDING_HANDSHAKES = 64;

    /** The maximum number of connections; a host has at most one after its handshake. */
    private static final int MAX_CONNECTIONS = 2048;

    private final TcpPeerSettings settings;
    private final Handshake handshake;
    private final HandlerRegistry handlers;
    private final TcpPeerCounters counters;
    private final StateChangeLogger stateLogger;
    private final Executor executor;
    private final Ticker ticker;
    private final ServerSocket server = new ServerSocket();
    private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger pendingHandshakes = new AtomicInteger();
    private final Map<HostId, Inbox> inboxes = new ConcurrentHashMap<>();

    Listener(
            TcpPeerSettings settings,
            HandlerRegistry handlers,
            TcpPeerCounters counters,
            StateChangeLogger stateLogger,
            Executor executor,
            Ticker ticker)
            throws IOException {
        this.settings = settings;
        this.handshake = new Handshake(settings);
        this.handlers = handlers;
        this.counters = counters;
        this.stateLogger = stateLogger;
        this.executor = executor;
        this.ticker = ticker;
    }

    void start() throws IOException {
        server.setReuseAddress(true);
        server.bind(settings.listen());
        executor.execute(this::acceptConnections);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    long lastHeardNanos(HostId host) {
        Inbox inbox = inboxes.get(host);
        return inbox == null ? Long.MIN_VALUE : inbox.lastHeardNanos();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                accept(server.accept());
            } catch (IOException | RuntimeException | Error e) {
                stateLogger.logIfChanged(
                        "peer port", server.isClosed() ? "closed" : "failed to accept: " + e.getMessage());
            }
        }
    }

    private void accept(Socket socket) throws IOException {
        if (pendingHandshakes.get() >= MAX_PENDING_HANDSHAKES || connections.size() >= MAX_CONNECTIONS) {
            counters.countRefusedHandshake();
            stateLogger.logIfChanged("connections over the limit", "refused");
            socket.close();
            return;
        }
        FrameConnection connection = FrameConnection.of(socket, settings.silenceTimeout(), counters, ticker);
        connections.add(connection);
        pendingHandshakes.incrementAndGet();
        try {
            executor.execute(() -> serve(connection));
        } catch (RuntimeException | Error e) {
            pendingHandshakes.decrementAndGet();
            remove(connection);
            throw e;
        }
    }

    private void serve(FrameConnection connection) {
        try {
            Frame.Hello hello = acceptHandshake(connection);
            Inbox inbox = inboxes.computeIfAbsent(hello.host(), host -> new Inbox());
            stateLogger.logIfChanged("connections from " + hello.host(), "accepted");
            new IncomingConnection(hello, connection, inbox, handlers, settings, counters, stateLogger).serve(executor);
        } catch (WaxwingheadException e) {
            counters.countRefusedHandshake();
            stateLogger.logIfChanged("connections from " + connection.remoteHost(), "refused: " + e.getMessage());
        } catch (FrameException e) {
            counters.countMalformedFrame();
            stateLogger.logIfChanged("connections from " + connection.remoteHost(), "closed: " + e.getMessage());
        } catch (SocketTimeoutException e) {
            counters.countSilentConnection();
        } catch (IOException e) {
            stateLogger.logIfChanged("connections from " + connection.remoteHost(), "ended");
        } finally {
            remove(connection);
        }
    }

    private Frame.Hello acceptHandshake(FrameConnection connection) throws IOException {
        try {
            return handshake.accept(connection);
        } finally {
            pendingHandshakes.decrementAndGet();
        }
    }

    private void remove(FrameConnection connection) {
        connection.close();
        connections.remove(connection);
    }

    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(FrameConnection::close);
    }
}
