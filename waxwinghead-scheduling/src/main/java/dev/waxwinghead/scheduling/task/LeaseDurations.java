package dev.waxwinghead.scheduling.task;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The durations of the leases of schedulers and workers.
 *
 * @param schedulerLeaseNanos how long a scheduler may act after sending its last successful renewal, in nanoseconds
 * @param workerLeaseNanos how long a worker may run tasks after sending its last granted poll, in nanoseconds
 * @since 0.1
 */
public record LeaseDurations(long schedulerLeaseNanos, long workerLeaseNanos) {
    /** The clocks of two hosts may drift apart by up to one part in {@value}. */
    private static final long DRIFT_DIVISOR = 20;

    /**
     * Creates lease durations.
     *
     * @param schedulerLease the lease of a scheduler
     * @param workerLease the lease of a worker
     * @return the new durations, never null
     */
    public static LeaseDurations of(Duration schedulerLease, Duration workerLease) {
        return new LeaseDurations(schedulerLease.toNanos(), workerLease.toNanos());
    }

    /**
     * Returns the duration after which a lease has certainly expired on every clock.
     *
     * @param nanos the duration of the lease, in nanoseconds
     * @return the duration plus a margin for clock drift, in nanoseconds
     */
    public static long withDriftMargin(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR;
    }

    /**
     * Returns how long after the last renewal of a scheduler a lease granted by that scheduler may run.
     *
     * @return the duration in milliseconds, rounded up
     */
    public long maxLeaseMillis() {
        return TimeUnit.NANOSECONDS.toMillis(schedulerLeaseNanos + workerLeaseNanos) + 1;
    }

    /**
     * Returns how long after the last renewal of a term all leases of that term have certainly expired.
     *
     * @param term the term
     * @return the duration in nanoseconds, including the margin for clock drift
     */
    public static long termExpiryNanos(SchedulerTerm term) {
        return withDriftMargin(TimeUnit.MILLISECONDS.toNanos(term.leaseMillis()));
    }
}
