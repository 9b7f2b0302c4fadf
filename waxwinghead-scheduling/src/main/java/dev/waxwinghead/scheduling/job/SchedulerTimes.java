package dev.waxwinghead.scheduling.job;

import java.time.Duration;

/**
 * Holds the durations that the scheduler of submitted jobs applies.
 *
 * @param lease how long a worker may keep its tasks running after an answered report
 * @param reportTimeout how long a worker waits for the answer to a report before ignoring it
 * @param retention how long ended jobs are kept
 * @param dueSlack how long after its due time an occurrence starts, so that no host's clock shows it as early
 * @since 0.2
 */
public record SchedulerTimes(Duration lease, Duration reportTimeout, Duration retention, Duration dueSlack) {
    /** The factor by which a worker's clock may run slower than the scheduler's. */
    private static final double CLOCK_DRIFT = 1.02;

    /** Covers the transmission of the last answer and the stopping of running tasks, in milliseconds. */
    private static final long LEASE_MARGIN_MILLIS = 300;

    /**
     * Returns how long after an answer a worker may still be running tasks.
     *
     * @return the duration in nanoseconds
     */
    public long leaseBoundNanos() {
        return Math.round(lease.toNanos() * CLOCK_DRIFT)
                + Duration.ofMillis(LEASE_MARGIN_MILLIS).toNanos();
    }

    /**
     * Returns how long after a change of schedulers a worker that has sent no report may still be running tasks.
     *
     * @return the duration in nanoseconds
     */
    public long inheritedLeaseBoundNanos() {
        return leaseBoundNanos() + reportTimeout.toNanos();
    }
}
