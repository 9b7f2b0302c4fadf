package dev.waxwinghead.scheduling.job;

/**
 * Lists the states of a job.
 *
 * @since 0.2
 */
public enum JobState {
    /** No task has started. */
    QUEUED(1, false),
    /** A task has started. */
    RUNNING(2, false),
    /** All tasks have completed. */
    DONE(3, true),
    /** A task has failed as often as its class allows. */
    FAILED(4, true),
    /** The caller canceled it. */
    CANCELED(5, true);

    private final int code;
    private final boolean ended;

    JobState(int code, boolean ended) {
        this.code = code;
        this.ended = ended;
    }

    /**
     * Returns the number that stands for the state in stored data. It never changes.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Tells whether a job in this state starts no more tasks.
     *
     * @return true if it has ended
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns the state with a code.
     *
     * @param code the code
     * @return the state, never null
     * @throws IllegalArgumentException if there is none
     */
    public static JobState ofCode(int code) {
        for (JobState state : values()) {
            if (state.code == code) {
                return state;
            }
        }
        throw new IllegalArgumentException("code " + code + " names no state");
    }
}
