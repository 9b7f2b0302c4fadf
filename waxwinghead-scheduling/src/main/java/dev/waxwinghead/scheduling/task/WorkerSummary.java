package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.WorkerDescription;

/**
 * Says how a worker stands.
 *
 * @param description the worker as it announced itself
 * @param incarnation its incarnation
 * @param committed what is committed there
 * @param state whether it takes tasks
 * @param lastHeardNanos when it last polled
 * @since 0.1
 */
public record WorkerSummary(
        WorkerDescription description, long incarnation, Resources committed, State state, long lastHeardNanos) {
    /** Lists the states of a worker. */
    public enum State {
        /** It takes tasks. */
        READY,
        /** It takes nothing new, and its tasks are moved away. */
        DRAINING,
        /** It takes nothing new because too much failed there. */
        QUARANTINED,
        /** It has not been heard of for longer than its lease. */
        LOST
    }
}
