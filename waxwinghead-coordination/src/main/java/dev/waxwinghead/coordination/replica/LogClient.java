package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Sends requests to other replicas and passes the answers to the thread of the {@link ReplicaLoop}. */
final class LogClient {
    private final PeerNetwork network;
    private final Executor loop;

    LogClient(PeerNetwork network, Executor loop) {
        this.network = network;
        this.loop = loop;
    }

    /** Sends a request to a host. The handler gets either an answer or a failure; the other argument is null. */
    void call(
            HostId host,
            LogClientMessage message,
            Deadline deadline,
            BiConsumer<LogClientAnswer, WaxwingheadException> handler) {
        byte[] request = LogClientMessage.Codec.encode(message);
        CompletableFuture<byte[]> call = network.call(host, PeerChannel.LOG_CLIENT, request, deadline);
        CompletableFuture<byte[]> unused =
                call.whenComplete((bytes, failure) -> loop.execute(() -> deliver(bytes, failure, handler)));
    }

    private static void deliver(
            byte[] bytes, Throwable failure, BiConsumer<LogClientAnswer, WaxwingheadException> handler) {
        if (failure != null) {
            handler.accept(null, WaxwingheadException.from(failure));
            return;
        }
        LogClientAnswer answer;
        try {
            answer = LogClientAnswer.Codec.decode(bytes);
        } catch (MalformedMessageException e) {
            handler.accept(
                    null,
                    WaxwingheadException.of(
                            ErrorKind.UNKNOWN_OUTCOME,
                            "a peer sent a malformed answer",
                            "run the same version on all entry hosts",
                            e));
            return;
        }
        handler.accept(answer, null);
    }
}
