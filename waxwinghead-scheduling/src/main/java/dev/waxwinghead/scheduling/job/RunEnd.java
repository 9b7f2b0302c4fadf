package dev.waxwinghead.scheduling.job;

/**
 * Enumerates how a run of a task can end.
 *
 * @since 0.2
 */
public enum RunEnd {
    /** The task has completed; never the end of a lasting task, which runs until its job is canceled. */
    COMPLETED(1),
    /** The run failed; the failure counts against the task's attempts. */
    FAILED(2),
    /** The run was stopped or refused, or its worker was lost; the task may start again. */
    INTERRUPTED(3),
    /**
     * The worker's process crashed soon after the start of the run; the crash is counted against the task.
     *
     * @since 0.3
     */
    WORKER_CRASHED(4),
    /**
     * The run was interrupted, or the run of a lasting task ended, in a way that shows that the start of the task
     * crashes no workers; the task may start again.
     *
     * @since 0.3
     */
    INTERRUPTED_AFTER_START(5);

    private final int code;

    RunEnd(int code) {
        this.code = code;
    }

    /**
     * Returns the code of the end in stored data. Codes never change.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the end with the given code.
     *
     * @param code the code
     * @return the end, never null
     * @throws IllegalArgumentException if no end has the code
     */
    public static RunEnd ofCode(int code) {
        for (RunEnd end : values()) {
            if (end.code == code) {
                return end;
            }
        }
        throw new IllegalArgumentException("code " + code + " is not the code of an end");
    }
}
