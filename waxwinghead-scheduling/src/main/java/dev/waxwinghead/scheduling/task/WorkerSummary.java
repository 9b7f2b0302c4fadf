package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.WorkerDescription;

/**
 * A summary of a worker.
 *
 * @param description the description that the worker announced
 * @param incarnation the incarnation of the worker
 * @param committed the resources committed on the worker
 * @param state the state of the worker
 * @param lastPollNanos when the worker last polled, in nanoseconds of the scheduler's monotonic clock
 * @since 0.1
 */
public record WorkerSummary(
        WorkerDescription description, long incarnation, Resources committed, State state, long lastPollNanos) {
    /** The states of a worker. */
    public enum State {
        /** The worker takes new tasks. */
        READY,
        /** The worker takes no new tasks, and its tasks are evicted. */
        DRAINING,
        /** The worker takes no new tasks because too many tasks failed on it. */
        QUARANTINED,
        /** The worker has not polled for longer than its lease. */
        LOST
    }
}
