package dev.waxwinghead.scheduling.task;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Holds the intervals that leases are built of, in nanoseconds.
 *
 * @param schedulerLeaseNanos how long a scheduler may act after it sent its last successful renewal
 * @param workerLeaseNanos how long a worker may run tasks after it sent its last granted poll
 * @since 0.1
 */
public record SchedulerTimes(long schedulerLeaseNanos, long workerLeaseNanos) {
    /** Clocks may drift apart by one part in this many. */
    private static final long DRIFT_DIVISOR = 20;

    /**
     * Returns the intervals of the given leases.
     *
     * @param schedulerLease the scheduler's lease
     * @param workerLease the workers' lease
     * @return the intervals, never null
     */
    public static SchedulerTimes of(Duration schedulerLease, Duration workerLease) {
        return new SchedulerTimes(schedulerLease.toNanos(), workerLease.toNanos());
    }

    /**
     * Returns when a lease has surely run out on every clock.
     *
     * @param nanos the interval
     * @return the interval with the margin for drift
     */
    public static long withMargin(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR;
    }

    /**
     * Returns how long after its last renewal a lease that a scheduler grants may run.
     *
     * @return the time in milliseconds, rounded up
     */
    public long longestLeaseMillis() {
        return TimeUnit.NANOSECONDS.toMillis(schedulerLeaseNanos + workerLeaseNanos) + 1;
    }

    /**
     * Returns how long after the last renewal of a term every lease of it has surely run out.
     *
     * @param term the term
     * @return the time in nanoseconds
     */
    public static long surelyOverNanos(SchedulerTerm term) {
        return withMargin(TimeUnit.MILLISECONDS.toNanos(term.leaseMillis()));
    }
}
