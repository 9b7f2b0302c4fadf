package dev.waxwinghead.scheduling.health;

import dev.waxwinghead.model.id.WorkerId;

/**
 * Bounds the quarantines of {@link WorkerHealth} and is notified of them. Implementations must not block.
 *
 * @since 0.3
 */
public interface QuarantineControl {
    /** Permits all quarantines. */
    QuarantineControl UNBOUNDED = new QuarantineControl() {
        @Override
        public boolean permits(WorkerId worker) {
            return true;
        }

        @Override
        public void decided(WorkerId worker, Evidence evidence, long millis) {}
    };

    /**
     * Returns whether a worker may be quarantined beside those that are.
     *
     * @param worker the worker
     * @return false if too many workers are quarantined
     */
    boolean permits(WorkerId worker);

    /**
     * Called when a worker is quarantined, or would be if {@link #permits} had allowed it.
     *
     * @param worker the worker
     * @param evidence the failures that count against it
     * @param millis how long the quarantine lasts, in milliseconds; 0 if it was not permitted
     */
    void decided(WorkerId worker, Evidence evidence, long millis);

    /**
     * Describes the failures that count against a worker.
     *
     * @param failures the number of failures
     * @param tasks the number of tasks that failed
     * @param jobs the number of jobs that the tasks belong to
     */
    record Evidence(int failures, int tasks, int jobs) {}
}
