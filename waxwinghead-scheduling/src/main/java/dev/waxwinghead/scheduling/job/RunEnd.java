package dev.waxwinghead.scheduling.job;

/**
 * Lists how a run of a task ends.
 *
 * @since 0.2
 */
public enum RunEnd {
    /** The task has completed. */
    COMPLETED(1),
    /** The run failed, which counts against the task's attempts. */
    FAILED(2),
    /** The run was stopped, refused or lost with its worker; the task may start again. */
    INTERRUPTED(3);

    private final int code;

    RunEnd(int code) {
        this.code = code;
    }

    /**
     * Returns the number that stands for the end in stored data. It never changes.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the end with a code.
     *
     * @param code the code
     * @return the end, never null
     * @throws IllegalArgumentException if there is none
     */
    public static RunEnd ofCode(int code) {
        for (RunEnd end : values()) {
            if (end.code == code) {
                return end;
            }
        }
        throw new IllegalArgumentException("code " + code + " names no end");
    }
}
