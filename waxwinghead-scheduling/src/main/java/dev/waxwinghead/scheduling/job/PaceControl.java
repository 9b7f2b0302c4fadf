package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/**
 * Slows the best-effort tasks of a worker while a serving task there is near its latency target.
 *
 * <p>The pace falls by half above the target and rises in small parts well below it, each time after the gauge has had
 * time to show the last change.
 */
final class PaceControl {
    /** The pace of a task that is not slowed, in percent. */
    static final int FULL = 100;

    /** The worker's gauge covers half a second, so a change shows only after that. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Below this pace tasks make no headway worth its disturbance, in percent. */
    private static final int LEAST = 12;

    private static final int RISE = 15;
    private static final double TOO_HIGH = 0.95;
    private static final double HIGH = 0.8;
    private static final double LOW = 0.65;

    private PaceControl() {}

    /** Sets the worker's pace by the strain of its serving tasks: their highest tail divided by its target. */
    static void adjust(WorkerEntry entry, double strain, long now) {
        if (now - entry.paceChangedNanos() < SETTLE_NANOS) {
            return;
        }
        int pace = entry.pace();
        int next = next(pace, strain);
        if (next != pace) {
            entry.pace(next, now);
        }
    }

    /** Tells whether a worker's serving tasks have room for more disturbance. */
    static boolean relaxed(WorkerEntry entry, double strain) {
        return entry.pace() == FULL && strain < HIGH;
    }

    private static int next(int pace, double strain) {
        if (strain >= TOO_HIGH) {
            return pace / 2 < LEAST ? 0 : pace / 2;
        }
        if (strain >= HIGH) {
            return pace < LEAST ? pace : Math.max(LEAST, pace * 4 / 5);
        }
        return strain < LOW ? Math.min(FULL, pace + RISE) : pace;
    }
}
