package dev.waxwinghead.scheduling.overload;

import dev.waxwinghead.model.id.JobId;

/**
 * Describes the work that a queued or running finite job still needs.
 *
 * @param id the job
 * @param priority the priority; 0 is the highest
 * @param remainingCoreMillis the estimated work that is left and not running, in core-milliseconds
 * @param totalCoreMillis the estimated work of the whole job, in core-milliseconds
 * @param criticalPathMillis the estimated duration of the steps that have not completed, in milliseconds
 * @param acceptedEpochMillis when the job was accepted, in wall-clock milliseconds
 * @param dueEpochMillis when the job has to end to meet its objective, in wall-clock milliseconds
 * @param expiryEpochMillis when the result of the job is no longer useful, in wall-clock milliseconds
 * @param begun whether a worker has listed a run of the job
 * @param liveRuns the number of live runs
 * @since 0.4
 */
public record JobDemand(
        JobId id,
        int priority,
        long remainingCoreMillis,
        long totalCoreMillis,
        long criticalPathMillis,
        long acceptedEpochMillis,
        long dueEpochMillis,
        long expiryEpochMillis,
        boolean begun,
        int liveRuns) {
    /**
     * Returns whether the job can still meet its objective.
     *
     * @param epochMillis the current wall-clock time, in milliseconds
     * @return the lateness, never null
     */
    public Lateness lateness(long epochMillis) {
        if (epochMillis > expiryEpochMillis) {
            return Lateness.EXPIRED;
        }
        return epochMillis + criticalPathMillis <= dueEpochMillis ? Lateness.ON_TIME : Lateness.LATE;
    }

    /** Enumerates whether a job can still meet its objective; earlier constants precede later ones. */
    public enum Lateness {
        /** The job can still meet its objective. */
        ON_TIME,
        /** The job will miss its objective, but its result is still useful. */
        LATE,
        /** The job is so late that its result is no longer useful. */
        EXPIRED
    }

    /**
     * Returns the value per core-millisecond of remaining work. The value of a job is its total work, so that the sizes
     * of a class are treated alike: with any fixed part of the value, small jobs would always be preferred.
     */
    double valueDensity() {
        return (double) Math.max(1, totalCoreMillis) / Math.max(1, remainingCoreMillis);
    }
}
