package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/** Tracks a call from queueing to its answer, so that a failure tells whether the call may have been sent. */
final class PendingCall implements OutgoingFrame {
    private final HostId to;
    private final Frame.Call call;
    private final CompletableFuture<byte[]> answer = new CompletableFuture<>();
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    PendingCall(HostId to, PeerChannel channel, long id, byte[] request) {
        this.to = to;
        this.call = new Frame.Call(channel, id, request);
    }

    CompletableFuture<byte[]> answer() {
        return answer;
    }

    /** Runs an action once the call has ended. */
    void onEnd(Runnable action) {
        CompletableFuture<byte[]> unused = answer.whenComplete((payload, failure) -> action.run());
    }

    long id() {
        return call.id();
    }

    @Override
    public Frame.ChannelFrame frame() {
        return call;
    }

    @Override
    public boolean droppable() {
        return false;
    }

    @Override
    public boolean beginWrite() {
        return state.compareAndSet(State.QUEUED, State.SENT);
    }

    /** Fails the call: as {@code UNAVAILABLE} if it was never sent, as {@code UNKNOWN_OUTCOME} otherwise. */
    @Override
    public void abandon(String reason) {
        State previous = state.getAndSet(State.ENDED);
        if (previous == State.QUEUED) {
            answer.completeExceptionally(WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "the call to " + to + " was not sent: " + reason,
                    "repeat the call later or on another host"));
        } else if (previous == State.SENT) {
            answer.completeExceptionally(WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    "the call to " + to + " was sent and not answered: " + reason,
                    "check whether the call took effect before repeating it"));
        }
    }

    void succeed(byte[] payload) {
        state.set(State.ENDED);
        answer.complete(payload);
    }

    void fail(Frame.Failure failure) {
        state.set(State.ENDED);
        ErrorKind kind = ErrorKind.ofCode(failure.code());
        answer.completeExceptionally(WaxwingheadException.of(kind, failure.message(), failure.remedy()));
    }

    /** The states of a call. */
    private enum State {
        QUEUED,
        SENT,
        ENDED
    }
}
