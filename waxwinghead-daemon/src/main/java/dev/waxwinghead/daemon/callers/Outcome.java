package dev.waxwinghead.daemon.callers;

/** Enumerates the outcomes of a request that are reported to its caller. */
enum Outcome {
    /** The upstream's complete answer follows. */
    ANSWERED("answered"),
    /** The request was certainly not run. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
