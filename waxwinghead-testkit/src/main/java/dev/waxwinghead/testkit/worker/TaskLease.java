package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.time.Ticker;

/**
 * Represents the lease under which the tasks of a worker may act.
 *
 * <p>A new lease is expired until it is extended for the first time. Thread-safe.
 */
final class TaskLease {
    private final Ticker ticker;
    private volatile long endNanos;

    private TaskLease(Ticker ticker) {
        this.ticker = ticker;
        this.endNanos = ticker.nanos();
    }

    static TaskLease create(Ticker ticker) {
        return new TaskLease(ticker);
    }

    /** Extends the lease to the given time after the sending of a poll; never shortens the lease. */
    synchronized void extend(long sentNanos, long leaseMillis) {
        long end = sentNanos + leaseMillis * 1_000_000L;
        if (end - endNanos > 0) {
            endNanos = end;
        }
    }

    boolean held() {
        return ticker.nanos() - endNanos < 0;
    }

    long remainingMillis() {
        return Math.max(0, (endNanos - ticker.nanos()) / 1_000_000L);
    }
}
