package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Serves one connection that a peer dialled: hands its messages and calls to the handlers and writes the answers. */
final class IncomingConnection implements AutoCloseable {
    private final Frame.Hello hello;
    private final FrameConnection connection;
    private final Inbox inbox;
    private final Handlers handlers;
    private final TcpPeerSettings settings;
    private final TcpPeerCounters counters;
    private final StateChanges states;
    private final Outbox outbox;

    IncomingConnection(
            Frame.Hello hello,
            FrameConnection connection,
            Inbox inbox,
            Handlers handlers,
            TcpPeerSettings settings,
            TcpPeerCounters counters,
            StateChanges states) {
        this.hello = hello;
        this.connection = connection;
        this.inbox = inbox;
        this.handlers = handlers;
        this.settings = settings;
        this.counters = counters;
        this.states = states;
        this.outbox = new Outbox(settings.maxQueuedBytes(), counters);
    }

    /** Reads until the connection fails. */
    void serve(Executor executor) throws IOException {
        inbox.replace(this);
        executor.execute(this::writeAll);
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
            CompletableFuture<byte[]> unused =
                    handlers.answer(hello.host(), call).whenComplete((answer, failure) -> reply(call, answer, failure));
        } else if (!(frame instanceof Frame.Heartbeat)) {
            throw new FrameException(FrameException.Reason.UNEXPECTED, "an answer came without a call");
        }
    }

    private void receiveMessage(Frame.Message message) {
        try {
            if (!handlers.receive(hello.host(), message)) {
                counters.countDroppedMessage();
            }
        } catch (RuntimeException e) {
            counters.countFailedHandler();
            states.note("handler of " + message.channel(), "failed: " + e);
        }
    }

    private void reply(Frame.Call call, byte[] answer, Throwable failure) {
        Frame.OnChannel reply = failure == null && answer.length <= settings.maxFrameBytes()
                ? new Frame.Answer(call.channel(), call.id(), answer)
                : Failures.answer(call.channel(), call.id(), typed(answer, failure));
        if (!outbox.offer(Outgoing.of(reply, false))) {
            counters.countDroppedMessage();
        }
    }

    private WaxwingheadException typed(byte[] answer, Throwable failure) {
        return failure == null
                ? TcpPeerNetwork.tooLarge("an answer", answer.length, settings.maxFrameBytes())
                : WaxwingheadException.from(failure);
    }

    private void writeAll() {
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
