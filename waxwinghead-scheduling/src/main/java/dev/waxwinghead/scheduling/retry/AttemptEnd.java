package dev.waxwinghead.scheduling.retry;

/**
 * Enumerates the ways in which an attempt to send a request to an upstream can end.
 *
 * @since 0.1
 */
public enum AttemptEnd {
    /** The complete answer of the upstream arrived. */
    ANSWERED(true),
    /** No byte of the request left this host. */
    NOT_SENT(false),
    /** The upstream reported that it did not run the request. */
    NOT_RUN(false),
    /** The connection broke, or the answer was truncated or malformed. */
    BROKEN(true),
    /** No answer arrived in time. */
    TIMED_OUT(true);

    private final boolean mayHaveRun;

    AttemptEnd(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the upstream may have run the request.
     *
     * @return false only if the upstream certainly did not run the request
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
