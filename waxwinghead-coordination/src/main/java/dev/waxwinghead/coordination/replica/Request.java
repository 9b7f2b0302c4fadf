package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Holds what one proposal, read or removal waits for. Only the thread of the loop changes it. */
final class Request {
    final RequestKind kind;
    final Deadline deadline;
    /** Whether it came from a user of this replica, and so may be passed on to the leader. */
    final boolean local;

    final CompletableFuture<LogClientAnswer> result = new CompletableFuture<>();
    /** Whether it may have reached a leader's log. */
    boolean mayHaveEffect;
    /** When it began to wait for a leader. */
    long waitingSince;

    Request(RequestKind kind, Deadline deadline, boolean local) {
        this.kind = kind;
        this.deadline = deadline;
        this.local = local;
    }

    void giveUp(String reason) {
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
