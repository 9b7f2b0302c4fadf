package dev.waxwinghead.scheduling.task;

/**
 * The states of a task.
 *
 * @since 0.1
 */
public enum TaskState {
    /** No attempt is live, and the task waits for a worker. */
    WAITING,
    /** An attempt is recorded, but its worker has not confirmed the start. */
    STARTING,
    /** The worker has confirmed that the attempt is running. */
    RUNNING,
    /** The attempt is to stop, but its worker has not confirmed the stop. */
    STOPPING,
    /** The task ran to completion. */
    COMPLETED,
    /** The task failed more often than its job allows. */
    FAILED,
    /** The task was cancelled, and no attempt is live. */
    CANCELLED;

    /**
     * Returns whether an attempt may be running.
     *
     * @return true while resources are committed for the attempt
     */
    public boolean live() {
        return this == STARTING || this == RUNNING || this == STOPPING;
    }

    /**
     * Returns whether the state is terminal.
     *
     * @return true for completed, failed and cancelled tasks
     */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
