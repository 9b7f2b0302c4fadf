package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/** Tells which runs make no progress, though nothing keeps them from it. */
final class StallWatch {
    /** The shortest time without progress that counts as a stall: a task starts up within it. */
    private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** How many times the estimated time of one percent a run may take for it. */
    private static final int PERCENT_FACTOR = 40;

    private StallWatch() {}

    static boolean stalled(JobStep step, RunObservation observed, long now) {
        boolean atWork = step.lasting() && observed.percent() >= 100;
        if (atWork) {
            return false;
        }
        long perPercent = TimeUnit.MILLISECONDS.toNanos(step.estimateMillis()) / 100;
        long bound = Math.max(LEAST_NANOS, PERCENT_FACTOR * perPercent);
        return now - observed.percentChangedNanos() > bound;
    }
}
