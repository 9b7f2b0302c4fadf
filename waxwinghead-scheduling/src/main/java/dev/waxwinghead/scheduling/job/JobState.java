package dev.waxwinghead.scheduling.job;

/**
 * Enumerates the states of a job.
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
    /** A task has failed as often as the job's class allows, or has repeatedly crashed the workers that started it. */
    FAILED(4, true),
    /** The caller canceled the job. */
    CANCELED(5, true);

    private final int code;
    private final boolean ended;

    JobState(int code, boolean ended) {
        this.code = code;
        this.ended = ended;
    }

    /**
     * Returns the code of the state in stored data. Codes never change.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Returns whether a job in this state starts no more tasks.
     *
     * @return true if the job has ended
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns the state with the given code.
     *
     * @param code the code
     * @return the state, never null
     * @throws IllegalArgumentException if no state has the code
     */
    public static JobState ofCode(int code) {
        for (JobState state : values()) {
            if (state.code == code) {
                return state;
            }
        }
        throw new IllegalArgumentException("code " + code + " is not the code of a state");
    }
}
