package dev.waxwinghead.daemon.callers;

/** Lists what a caller is told about its request. */
enum Outcome {
    /** The upstream's whole answer follows. */
    ANSWERED("answered"),
    /** The request was surely not run. */
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
