package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps a connection to one peer and sends this host's messages and calls on it.
 *
 * <p>One thread dials, then writes; a second one reads the answers and heartbeats. When nothing arrives for the silence
 * timeout, or anything fails, the connection is closed and a new one dialled after a short random pause.
 */
final class OutgoingLink implements AutoCloseable {
    private static final long FIRST_BACKOFF_MILLIS = 20;

    private final PeerAddress peer;
    private final TcpPeerSettings settings;
    private final Handshake handshake;
    private final TcpPeerCounters counters;
    private final StateChanges states;
    private final Executor executor;
    private final Ticker ticker;
    private final AtomicLong callIds = new AtomicLong();
    private volatile Session session;
    private volatile boolean closed;
    private volatile long lastHeardNanos = Long.MIN_VALUE;
    private Thread dialler;

    OutgoingLink(
            PeerAddress peer,
            TcpPeerSettings settings,
            TcpPeerCounters counters,
            StateChanges states,
            Executor executor,
            Ticker ticker) {
        this.peer = peer;
        this.settings = settings;
        this.handshake = new Handshake(settings);
        this.counters = counters;
        this.states = states;
        this.executor = executor;
        this.ticker = ticker;
    }

    void start() {
        executor.execute(this::run);
    }

    PeerAddress peer() {
        return peer;
    }

    boolean connected() {
        Session current = session;
        return current != null
                && ticker.nanos() - current.connection.lastHeardNanos()
                        < settings.silenceTimeout().toNanos();
    }

    long lastHeardNanos() {
        Session current = session;
        return current == null ? lastHeardNanos : current.connection.lastHeardNanos();
    }

    void send(PeerChannel channel, byte[] message) {
        Session current = session;
        if (current == null) {
            counters.countDroppedMessage();
        } else {
            current.outbox.offer(Outgoing.of(new Frame.Message(channel, message), true));
        }
    }

    PendingCall call(PeerChannel channel, byte[] request) {
        PendingCall call = new PendingCall(peer.host(), channel, callIds.incrementAndGet(), request);
        Session current = session;
        if (current == null) {
            call.abandon("no connection");
        } else {
            current.enqueue(call);
        }
        return call;
    }

    private void run() {
        synchronized (this) {
            dialler = Thread.currentThread();
        }
        keepConnected();
        synchronized (this) {
            dialler = null;
        }
    }

    private void keepConnected() {
        long backoffMillis = FIRST_BACKOFF_MILLIS;
        boolean connectedBefore = false;
        while (!closed) {
            Session dialled = dial();
            if (dialled != null) {
                if (connectedBefore) {
                    counters.countReconnect();
                }
                connectedBefore = true;
                backoffMillis = FIRST_BACKOFF_MILLIS;
                serve(dialled);
            }
            pause(backoffMillis);
            backoffMillis = Math.min(2 * backoffMillis, settings.maxBackoff().toMillis());
        }
    }

    private Session dial() {
        Socket socket = new Socket();
        try {
            socket.connect(peer.address(), (int) settings.connectTimeout().toMillis());
            FrameConnection connection = FrameConnection.of(socket, settings.silenceTimeout(), counters, ticker);
            handshake.dial(connection, peer.host());
            return new Session(connection);
        } catch (WaxwingheadException e) {
            counters.countRefusedHandshake();
            note("refused: " + e.getMessage());
        } catch (IOException e) {
            countFailure(e);
            note("not reached: " + e.getMessage());
        }
        closeQuietly(socket);
        return null;
    }

    private void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            counters.countFailedClose();
        }
    }

    private void serve(Session opened) {
        session = opened;
        note("connected");
        try {
            executor.execute(opened::readAll);
            new FrameWriter(opened.connection, opened.outbox, settings.heartbeatInterval()).run();
        } catch (IOException | InterruptedException | RejectedExecutionException e) {
            opened.end(e);
        }
        lastHeardNanos = opened.connection.lastHeardNanos();
        session = null;
        note("lost: " + opened.reason);
    }

    private void pause(long maxMillis) {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(maxMillis / 2, maxMillis + 1));
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    private void note(String state) {
        if (!closed) {
            states.note("connection to " + peer.host() + " at " + peer.address(), state);
        }
    }

    private void countFailure(IOException failure) {
        if (failure instanceof FrameException) {
            counters.countMalformedFrame();
        } else if (failure instanceof SocketTimeoutException) {
            counters.countSilentConnection();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        Session current = session;
        if (current != null) {
            current.end(new IOException("this host closed it"));
        }
        if (dialler != null) {
            dialler.interrupt();
        }
    }

    /** Holds one connection, what waits for it and the calls that it carries. */
    private final class Session {
        private final FrameConnection connection;
        private final Outbox outbox = new Outbox(settings.maxQueuedBytes(), counters);
        private final Map<Long, PendingCall> calls = new ConcurrentHashMap<>();
        private volatile String reason = "";

        Session(FrameConnection connection) {
            this.connection = connection;
        }

        void enqueue(PendingCall call) {
            calls.put(call.id(), call);
            call.onEnd(() -> calls.remove(call.id()));
            if (!outbox.offer(call)) {
                call.abandon(reason.isEmpty() ? "too much waits for this peer" : reason);
            }
        }

        void readAll() {
            try {
                while (true) {
                    receive(connection.read());
                }
            } catch (IOException e) {
                if (!closed && reason.isEmpty()) {
                    countFailure(e);
                }
                end(e);
            }
        }

        private void receive(Frame frame) throws FrameException {
            if (frame instanceof Frame.Answer answer) {
                PendingCall call = calls.remove(answer.id());
                if (call != null) {
                    call.succeed(answer.payload());
                }
            } else if (frame instanceof Frame.Failure failure) {
                PendingCall call = calls.remove(failure.id());
                if (call != null) {
                    call.fail(failure);
                }
            } else if (!(frame instanceof Frame.Heartbeat)) {
                throw new FrameException(FrameException.Reason.UNEXPECTED, "a caller got a request");
            }
        }

        void end(Exception cause) {
            if (reason.isEmpty()) {
                reason = cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
            }
            connection.close();
            outbox.close(reason);
            calls.values().forEach(call -> call.abandon(reason));
        }
    }
}
