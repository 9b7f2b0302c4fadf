package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/** Detects runs that make no progress although nothing is known to prevent it. */
final class StallDetector {
    /** The minimum time without progress that counts as a stall; longer than the start-up of a task. */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** The multiple of the estimated time for one percent of progress after which a run counts as stalled. */
    private static final int STALL_FACTOR = 40;

    private StallDetector() {}

    static boolean stalled(JobStep step, RunObservation observed, long now) {
        boolean ready = step.lasting() && observed.percent() >= 100;
        if (ready) {
            return false;
        }
        long perPercent = TimeUnit.MILLISECONDS.toNanos(step.estimateMillis()) / 100;
        long bound = Math.max(MIN_STALL_NANOS, STALL_FACTOR * perPercent);
        return now - observed.percentChangedNanos() > bound;
    }
}
