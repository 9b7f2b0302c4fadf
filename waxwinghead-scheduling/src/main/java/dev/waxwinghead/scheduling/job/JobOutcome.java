package dev.waxwinghead.scheduling.job;

/**
 * Lists what may become of a command to the job table.
 *
 * @since 0.2
 */
public enum JobOutcome {
    /** The command took effect. */
    APPLIED(1),
    /** The job was known already, and nothing changed. */
    REPEATED(2),
    /** The job to cancel was not known; it will not run if it arrives later. */
    UNKNOWN_JOB(3),
    /** Another scheduler has taken over, and nothing changed. */
    STALE_EPOCH(4);

    private final int code;

    JobOutcome(int code) {
        this.code = code;
    }

    /**
     * Returns the number that stands for the outcome on the wire. It never changes.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the outcome with a code.
     *
     * @param code the code
     * @return the outcome, never null
     * @throws IllegalArgumentException if there is none
     */
    public static JobOutcome ofCode(int code) {
        for (JobOutcome outcome : values()) {
            if (outcome.code == code) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("code " + code + " names no outcome");
    }
}
