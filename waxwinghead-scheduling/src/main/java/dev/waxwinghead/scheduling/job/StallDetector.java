package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/** Tells runs that make progress from those that make none although nothing is known to prevent it. */
final class StallDetector {
    /** The minimum time without progress that counts as a stall; longer than the start-up of a task. */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** The multiple of the estimated time for one percent of progress after which a run counts as stalled. */
    private static final int STALL_FACTOR = 40;

    /** The multiple of the estimated time for one percent of progress within which a sound run progresses. */
    private static final int PROGRESS_FACTOR = 3;

    private StallDetector() {}

    static boolean stalled(JobStep step, RunObservation observed, long now) {
        boolean ready = step.lasting() && observed.percent() >= 100;
        if (ready) {
            return false;
        }
        long bound = Math.max(MIN_STALL_NANOS, STALL_FACTOR * perPercentNanos(step));
        return now - observed.percentChangedNanos() > bound;
    }

    /** Returns whether a run has progressed as recently as its estimate lets expect. */
    static boolean progresses(JobStep step, RunObservation observed, long now) {
        return now - observed.percentChangedNanos() <= PROGRESS_FACTOR * perPercentNanos(step);
    }

    private static long perPercentNanos(JobStep step) {
        return TimeUnit.MILLISECONDS.toNanos(step.estimateMillis()) / 100;
    }
}
