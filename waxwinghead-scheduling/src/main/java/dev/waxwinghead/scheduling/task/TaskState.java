package dev.waxwinghead.scheduling.task;

/**
 * Lists the states of a task.
 *
 * @since 0.1
 */
public enum TaskState {
    /** No attempt is live; it waits for a worker. */
    WAITING,
    /** An attempt is recorded, but no worker has confirmed it. */
    STARTING,
    /** A worker has confirmed that the attempt runs. */
    RUNNING,
    /** The attempt is to stop, and its worker has not confirmed it. */
    STOPPING,
    /** It ran to completion. */
    COMPLETED,
    /** It failed more often than its job allows. */
    FAILED,
    /** It was cancelled, and no attempt is live. */
    CANCELLED;

    /**
     * Tells whether an attempt may be running.
     *
     * @return true while the attempt counts against its worker
     */
    public boolean live() {
        return this == STARTING || this == RUNNING || this == STOPPING;
    }

    /**
     * Tells whether nothing more happens to the task.
     *
     * @return true for completed, failed and cancelled tasks
     */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
