package dev.waxwinghead.scheduling.job;

/**
 * Enumerates the outcomes of a {@link JobCommand}.
 *
 * @since 0.2
 */
public enum JobOutcome {
    /** The command took effect. */
    APPLIED(1),
    /**
     * The job was accepted before, or had ended before the cancellation, or the data centre was drained or undrained
     * before; nothing changed.
     */
    REPEATED(2),
    /** The job to cancel was not known; it will not run if it is accepted later. */
    UNKNOWN_JOB(3),
    /** Another scheduler has taken over; nothing changed. */
    STALE_EPOCH(4),
    /** The data centre was drained or undrained by a command that the sender did not know; nothing changed. */
    SUPERSEDED(5);

    private final int code;

    JobOutcome(int code) {
        this.code = code;
    }

    /**
     * Returns the code of the outcome on the wire. Codes never change.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the outcome with the given code.
     *
     * @param code the code
     * @return the outcome, never null
     * @throws IllegalArgumentException if no outcome has the code
     */
    public static JobOutcome ofCode(int code) {
        for (JobOutcome outcome : values()) {
            if (outcome.code == code) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("code " + code + " is not the code of an outcome");
    }
}
