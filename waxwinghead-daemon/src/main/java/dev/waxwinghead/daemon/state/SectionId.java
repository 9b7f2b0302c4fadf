package dev.waxwinghead.daemon.state;

/** Lists the sections of the shared state. The code is the first byte of each command and never changes. */
public enum SectionId {
    /** What operators declared. */
    CONFIGURATION(1),
    /** Schedulers' terms, tasks and their attempts. */
    TASKS(2),
    /** Claims of non-idempotent requests. */
    CLAIMS(3),
    /** Jobs that callers submitted. */
    JOBS(4),
    /** The classes of submitted jobs. */
    JOB_CLASSES(5);

    private final int code;

    SectionId(int code) {
        this.code = code;
    }

    /**
     * Returns the section's code.
     *
     * @return a number from 1 to 127
     */
    public int code() {
        return code;
    }
}
