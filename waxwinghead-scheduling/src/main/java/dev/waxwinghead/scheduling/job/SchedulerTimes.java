package dev.waxwinghead.scheduling.job;

import java.time.Duration;

/**
 * Holds the times that the scheduler of submitted jobs keeps to.
 *
 * @param lease how long a worker may run on after a report that was answered
 * @param reportTimeout after how long a worker drops an answer to its report
 * @param retention how long ended jobs are kept
 * @param dueSlack how long after its due time an occurrence starts, so that no clock shows it as early
 * @since 0.2
 */
public record SchedulerTimes(Duration lease, Duration reportTimeout, Duration retention, Duration dueSlack) {
    /** How much slower than the scheduler's a worker's clock may run, as a factor of the lease. */
    private static final double CLOCK_DRIFT = 1.02;

    /** Covers the way of the last answer and the stopping of what ran, in milliseconds. */
    private static final long LEASE_SLACK_MILLIS = 300;

    /**
     * Returns how long after an answer the worker may still be running something.
     *
     * @return the time in nanoseconds
     */
    public long leaseBoundNanos() {
        return Math.round(lease.toNanos() * CLOCK_DRIFT)
                + Duration.ofMillis(LEASE_SLACK_MILLIS).toNanos();
    }

    /**
     * Returns how long after a change of schedulers a worker that was not heard of may still be running something.
     *
     * @return the time in nanoseconds
     */
    public long inheritedLeaseBoundNanos() {
        return leaseBoundNanos() + reportTimeout.toNanos();
    }
}
