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

/** Calls another replica and hands its answer to the thread of the loop. */
final class LeaderLink {
    private final PeerNetwork network;
    private final Executor loop;

    LeaderLink(PeerNetwork network, Executor loop) {
        this.network = network;
        this.loop = loop;
    }

    /** Calls a host. The receiver gets either an answer or a failure; the other one is null. */
    void call(
            HostId host,
            LogClientMessage message,
            Deadline deadline,
            BiConsumer<LogClientAnswer, WaxwingheadException> receiver) {
        byte[] request = LogClientMessage.Codec.encode(message);
        CompletableFuture<byte[]> call = network.call(host, PeerChannel.LOG_CLIENT, request, deadline);
        CompletableFuture<byte[]> unused =
                call.whenComplete((bytes, failure) -> loop.execute(() -> deliver(bytes, failure, receiver)));
    }

    private static void deliver(
            byte[] bytes, Throwable failure, BiConsumer<LogClientAnswer, WaxwingheadException> receiver) {
        if (failure != null) {
            receiver.accept(null, WaxwingheadException.from(failure));
            return;
        }
        LogClientAnswer answer;
        try {
            answer = LogClientAnswer.Codec.decode(bytes);
        } catch (MalformedMessageException e) {
            receiver.accept(
                    null,
                    WaxwingheadException.of(
                            ErrorKind.UNKNOWN_OUTCOME,
                            "the answer of a peer is malformed",
                            "run the same version on all entry hosts",
                            e));
            return;
        }
        receiver.accept(answer, null);
    }
}
