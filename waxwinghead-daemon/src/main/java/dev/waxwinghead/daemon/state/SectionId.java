package dev.waxwinghead.daemon.state;

/** A section of the shared state. The code is the first byte of each command and never changes. */
public enum SectionId {
    /** The configuration that operators declare. */
    CONFIGURATION(1),
    /** Scheduler terms, tasks and their attempts. */
    TASKS(2),
    /** Claims of keyed requests. */
    CLAIMS(3),
    /** Jobs that callers submit. */
    JOBS(4),
    /** The classes of submitted jobs. */
    JOB_CLASSES(5),
    /** What was learned about the interference between images. */
    INTERFERENCE(6);

    private final int code;

    SectionId(int code) {
        this.code = code;
    }

    /**
     * Returns the code of the section.
     *
     * @return the code, from 1 to 127
     */
    public int code() {
        return code;
    }
}
