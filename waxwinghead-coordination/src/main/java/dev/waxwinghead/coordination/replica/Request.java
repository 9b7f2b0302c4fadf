package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Holds the state of an open proposal, read or removal. Modified on the thread of the {@link ReplicaLoop} only. */
final class Request {
    final RequestKind kind;
    final Deadline deadline;
    /** Whether the request was made on this replica, and may therefore be forwarded to the leader. */
    final boolean local;

    final CompletableFuture<LogClientAnswer> result = new CompletableFuture<>();
    /** Whether the request may have reached the log of a leader. */
    boolean mayHaveEffect;
    /** The time at which the request started to wait for a leader, in nanoseconds of the ticker. */
    long waitingSinceNanos;

    Request(RequestKind kind, Deadline deadline, boolean local) {
        this.kind = kind;
        this.deadline = deadline;
        this.local = local;
    }

    void abort(String reason) {
        if (mayHaveEffect && kind.changesState()) {
            fail(
                    ErrorKind.UNKNOWN_OUTCOME,
                    reason + " before the outcome was known",
                    "read the state, or send the same change again under the same id");
        } else {
            fail(
                    ErrorKind.NO_MAJORITY,
                    reason + ", nothing was accepted",
                    "ask an entry host that reaches a majority, or try again once this one does");
        }
    }

    void fail(ErrorKind errorKind, String message, String remedy) {
        result.completeExceptionally(WaxwingheadException.of(errorKind, message, remedy));
    }
}
