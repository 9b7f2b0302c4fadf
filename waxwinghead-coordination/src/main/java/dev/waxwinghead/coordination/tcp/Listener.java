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

/** Accepts the connections of peers. */
final class Listener implements AutoCloseable {
    /** Bounds the threads that strangers can hold. */
    private static final int MAX_CONNECTIONS = 64;

    private final TcpPeerSettings settings;
    private final Handshake handshake;
    private final Handlers handlers;
    private final TcpPeerCounters counters;
    private final StateChanges states;
    private final Executor executor;
    private final Ticker ticker;
    private final ServerSocket server = new ServerSocket();
    private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();
    private final Map<HostId, Inbox> inboxes = new ConcurrentHashMap<>();

    Listener(
            TcpPeerSettings settings,
            Handlers handlers,
            TcpPeerCounters counters,
            StateChanges states,
            Executor executor,
            Ticker ticker)
            throws IOException {
        this.settings = settings;
        this.handshake = new Handshake(settings);
        this.handlers = handlers;
        this.counters = counters;
        this.states = states;
        this.executor = executor;
        this.ticker = ticker;
    }

    void start() throws IOException {
        server.setReuseAddress(true);
        server.bind(settings.listen());
        executor.execute(this::acceptAll);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    long lastHeardNanos(HostId host) {
        Inbox inbox = inboxes.get(host);
        return inbox == null ? Long.MIN_VALUE : inbox.lastHeardNanos();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                accept(server.accept());
            } catch (IOException e) {
                states.note("peer port", server.isClosed() ? "closed" : "failed to accept: " + e.getMessage());
            }
        }
    }

    private void accept(Socket socket) throws IOException {
        if (connections.size() >= MAX_CONNECTIONS) {
            counters.countRefusedHandshake();
            socket.close();
            return;
        }
        FrameConnection connection = FrameConnection.of(socket, settings.silenceTimeout(), counters, ticker);
        connections.add(connection);
        executor.execute(() -> serve(connection));
    }

    private void serve(FrameConnection connection) {
        try {
            Frame.Hello hello = handshake.accept(connection);
            Inbox inbox = inboxes.computeIfAbsent(hello.host(), host -> new Inbox());
            states.note("connections from " + hello.host(), "accepted");
            new IncomingConnection(hello, connection, inbox, handlers, settings, counters, states).serve(executor);
        } catch (WaxwingheadException e) {
            counters.countRefusedHandshake();
            states.note("connections from " + connection.remoteHost(), "refused: " + e.getMessage());
        } catch (FrameException e) {
            counters.countMalformedFrame();
            states.note("connections from " + connection.remoteHost(), "closed: " + e.getMessage());
        } catch (SocketTimeoutException e) {
            counters.countSilentConnection();
        } catch (IOException e) {
            states.note("connections from " + connection.remoteHost(), "ended");
        } finally {
            connection.close();
            connections.remove(connection);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(FrameConnection::close);
    }
}
