package dev.waxwinghead.scheduling.retry;

/**
 * Lists how an attempt at an upstream can end.
 *
 * @since 0.1
 */
public enum AttemptEnd {
    /** The upstream's whole answer arrived. */
    ANSWERED(true),
    /** No byte of the request left this host. */
    NOT_SENT(false),
    /** The upstream itself said that it did not run the request. */
    NOT_RUN(false),
    /** The connection broke, or the answer was cut off or malformed. */
    BROKEN(true),
    /** No answer arrived in time. */
    TIMED_OUT(true);

    private final boolean mayHaveRun;

    AttemptEnd(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the upstream may have run the request.
     *
     * @return false only if it surely did not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
