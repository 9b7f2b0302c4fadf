package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/**
 * A call in an entry host that is not answered yet. Guarded by the monitor of the {@link JobGateway}, except for the
 * constant fields and the result.
 */
final class RoutedCall {
    final String path;
    final byte[] request;
    final boolean changes;
    final Deadline deadline;
    final CompletableFuture<JobAnswer> result = new CompletableFuture<>();

    /** The number of attempts so far; identifies the latest attempt. */
    int attempts;

    /** The epoch of the latest attempt, 0 if there was none. */
    long epoch;

    /** Whether the latest attempt is under way and counts among the paced ones. */
    boolean paced;

    /** Whether the latest attempt is under way; otherwise the call waits for its next attempt. */
    boolean sent;

    /** The time of the latest attempt, in nanoseconds of the ticker. */
    long sentNanos;

    /** Whether an attempt may have taken effect. */
    boolean mayHaveRun;

    /** Whether an attempt got no answer, also if it was shown later that it has not taken effect. */
    boolean wasUncertain;

    /**
     * Whether the latest answer stated that the scheduler can't commit, and since when in nanoseconds of the ticker.
     */
    boolean cannotCommit;

    long cannotCommitSinceNanos;

    /** The time before which no further attempt is made, in nanoseconds of the ticker. */
    long notBeforeNanos;

    /** The last failure of an attempt. */
    String reason = "no host is known to act as the scheduler";

    RoutedCall(JobCall call, Deadline deadline, long nowNanos) {
        this.path = call.target().path();
        this.request = JobCallCodec.pack(call);
        this.changes = call.changes();
        this.deadline = deadline;
        this.notBeforeNanos = nowNanos;
    }

    /** Notes that the latest attempt may have reached a host and that its outcome is not known. */
    void markUncertain() {
        wasUncertain |= changes;
        mayHaveRun |= changes;
    }
}
