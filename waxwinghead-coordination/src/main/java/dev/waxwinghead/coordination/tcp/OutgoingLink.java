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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Maintains a connection to one peer and sends the messages and calls of this host on it.
 *
 * <p>One thread dials and then writes; a second one reads the answers and heartbeats. If nothing arrives within the
 * silence timeout, or an operation fails, the connection is closed and a new one is dialled after a random backoff.
 */
final class OutgoingLink implements AutoCloseable {
    private static final long INITIAL_BACKOFF_MILLIS = 20;

    private final PeerAddress peer;
    private final TcpPeerSettings settings;
    private final Handshake handshake;
    private final TcpPeerCounters counters;
    private final StateChangeLogger stateLogger;
    private final Executor executor;
    private final Ticker ticker;
    private final AtomicLong callIds = new AtomicLong();
    private volatile Session session;
    private volatile boolean closed;
    private volatile long lastHeardNanos = Long.MIN_VALUE;
    private Thread diallerThread;

    OutgoingLink(
            PeerAddress peer,
            TcpPeerSettings settings,
            TcpPeerCounters counters,
            StateChangeLogger stateLogger,
            Executor executor,
            Ticker ticker) {
        this.peer = peer;
        this.settings = settings;
        this.handshake = new Handshake(settings);
        this.counters = counters;
        this.stateLogger = stateLogger;
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
            current.outbox.offer(OutgoingFrame.of(new Frame.Message(channel, message), true));
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
            diallerThread = Thread.currentThread();
        }
        keepConnected();
        synchronized (this) {
            diallerThread = null;
        }
    }

    private void keepConnected() {
        long backoffMillis = INITIAL_BACKOFF_MILLIS;
        boolean connectedBefore = false;
        while (!closed) {
            Session dialled = dial();
            if (dialled != null) {
                if (connectedBefore) {
                    counters.countReconnect();
                }
                connectedBefore = true;
                backoffMillis = INITIAL_BACKOFF_MILLIS;
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
            logState("refused: " + e.getMessage());
        } catch (IOException e) {
            countFailure(e);
            logState("failed to connect: " + e.getMessage());
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
        logState("connected");
        try {
            executor.execute(opened::readFrames);
            new FrameWriter(opened.connection, opened.outbox, settings.heartbeatInterval()).run();
        } catch (IOException | InterruptedException | RuntimeException | Error e) {
            opened.terminate(e);
        }
        lastHeardNanos = opened.connection.lastHeardNanos();
        session = null;
        logState("lost: " + opened.closeReason);
    }

    private void pause(long maxMillis) {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(maxMillis / 2, maxMillis + 1));
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    private void logState(String state) {
        if (!closed) {
            stateLogger.logIfChanged("connection to " + peer.host() + " at " + peer.address(), state);
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
            current.terminate(new IOException("this host closed the connection"));
        }
        if (diallerThread != null) {
            diallerThread.interrupt();
        }
    }

    /** A connection with its outbox and its unanswered calls. */
    private final class Session {
        private final FrameConnection connection;
        private final Outbox outbox = new Outbox(settings.maxQueuedBytes(), counters);
        private final Map<Long, PendingCall> calls = new ConcurrentHashMap<>();
        private volatile String closeReason = "";

        Session(FrameConnection connection) {
            this.connection = connection;
        }

        void enqueue(PendingCall call) {
            calls.put(call.id(), call);
            call.onEnd(() -> calls.remove(call.id()));
            if (!outbox.offer(call)) {
                call.abandon(closeReason.isEmpty() ? "the queue of its channel is full" : closeReason);
            }
        }

        void readFrames() {
            try {
                while (true) {
                    receive(connection.read());
                }
            } catch (IOException e) {
                if (!closed && closeReason.isEmpty()) {
                    countFailure(e);
                }
                terminate(e);
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
                throw new FrameException(
                        FrameException.Reason.UNEXPECTED, "the frame is neither an answer, a failure nor a heartbeat");
            }
        }

        void terminate(Throwable cause) {
            if (closeReason.isEmpty()) {
                closeReason = cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
            }
            connection.close();
            outbox.close(closeReason);
            calls.values().forEach(call -> call.abandon(closeReason));
        }
    }
}
