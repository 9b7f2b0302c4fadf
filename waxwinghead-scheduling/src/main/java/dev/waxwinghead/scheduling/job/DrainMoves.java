package dev.waxwinghead.scheduling.job;

/** Moves running tasks from the workers of drained data centres. */
final class DrainMoves {
    /** The reason of stops that a drain causes. */
    static final String STOP_REASON = "data-centre-drained";

    private DrainMoves() {}
}
