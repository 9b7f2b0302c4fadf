package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Serves a connection that a peer dialled: dispatches its messages and calls to the handlers and writes the answers.
 */
final class IncomingConnection implements AutoCloseable {
    private final Frame.Hello hello;
    private final FrameConnection connection;
    private final Inbox inbox;
    private final HandlerRegistry handlers;
    private final TcpPeerSettings settings;
    private final TcpPeerCounters counters;
    private final StateChangeLogger stateLogger;
    private final Outbox outbox;

    IncomingConnection(
            Frame.Hello hello,
            FrameConnection connection,
            Inbox inbox,
            HandlerRegistry handlers,
            TcpPeerSettings settings,
            TcpPeerCounters counters,
            StateChangeLogger stateLogger) {
        this.hello = hello;
        this.connection = connection;
        this.inbox = inbox;
        this.handlers = handlers;
        this.settings = settings;
        this.counters = counters;
        this.stateLogger = stateLogger;
        this.outbox = new Outbox(settings.maxQueuedBytes(), counters);
    }

    /** Reads and delivers frames until the connection fails or is replaced. */
    void serve(Executor executor) throws IOException {
        inbox.replace(this);
        executor.execute(this::writeFrames);
        try {
            boolean newest = true;
            while (newest) {
                newest = inbox.deliver(this, connection.read());
            }
        } finally {
            close();
        }
    }

    long id() {
        return hello.connectionId();
    }

    long lastHeardNanos() {
        return connection.lastHeardNanos();
    }

    void receive(Frame frame) throws FrameException {
        if (frame instanceof Frame.Message message) {
            receiveMessage(message);
        } else if (frame instanceof Frame.Call call) {
            CompletableFuture<byte[]> unused = handlers.dispatchCall(hello.host(), call)
                    .whenComplete((answer, failure) -> reply(call, answer, failure));
        } else if (!(frame instanceof Frame.Heartbeat)) {
            throw new FrameException(
                    FrameException.Reason.UNEXPECTED, "the frame is neither a message, a call nor a heartbeat");
        }
    }

    private void receiveMessage(Frame.Message message) {
        try {
            if (!handlers.dispatchMessage(hello.host(), message)) {
                counters.countDroppedMessage();
            }
        } catch (RuntimeException e) {
            counters.countFailedHandler();
            stateLogger.logIfChanged("handler of " + message.channel(), "failed: " + e);
        }
    }

    private void reply(Frame.Call call, byte[] answer, Throwable failure) {
        Frame.ChannelFrame reply = failure == null && answer.length <= settings.maxPayloadBytes()
                ? new Frame.Answer(call.channel(), call.id(), answer)
                : FailureFrames.toFailure(call.channel(), call.id(), toException(answer, failure));
        if (!outbox.offer(OutgoingFrame.of(reply, false))) {
            counters.countDroppedMessage();
        }
    }

    private WaxwingheadException toException(byte[] answer, Throwable failure) {
        return failure == null
                ? TcpPeerNetwork.tooLarge("an answer", answer.length, settings.maxPayloadBytes())
                : WaxwingheadException.from(failure);
    }

    private void writeFrames() {
        try {
            new FrameWriter(connection, outbox, settings.heartbeatInterval()).run();
        } catch (IOException | InterruptedException e) {
            close();
        }
    }

    @Override
    public void close() {
        connection.close();
        outbox.close("the connection was closed");
    }
}
