package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/** Holds the state of a run according to its worker's reports. */
final class RunObservation {
    private static final long NEVER = Long.MIN_VALUE;

    /** The shortest time over which progress is measured, since reports give whole percents. */
    private static final long MIN_PROGRESS_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final long firstListedNanos;
    private int windowPercent;
    private long windowStartNanos;
    private int percent;
    private long percentChangedNanos;
    private String checkpoint;
    private long gauge;
    private long overTargetSinceNanos = NEVER;

    RunObservation(WorkerReport.RunningTask task, long now) {
        this.firstListedNanos = now;
        this.windowPercent = task.percent();
        this.windowStartNanos = now;
        this.percent = task.percent();
        this.percentChangedNanos = now;
        this.checkpoint = task.checkpoint();
        this.gauge = task.gauge();
    }

    void update(WorkerReport.RunningTask task, long now) {
        if (task.percent() != percent) {
            percent = task.percent();
            percentChangedNanos = now;
        }
        checkpoint = task.checkpoint();
        gauge = task.gauge();
    }

    /** Records whether the serving task exceeds its target now. */
    void recordOverTarget(boolean over, long now) {
        if (!over) {
            overTargetSinceNanos = NEVER;
        } else if (overTargetSinceNanos == NEVER) {
            overTargetSinceNanos = now;
        }
    }

    /** Returns for how long the task has continuously exceeded its target, in nanoseconds. */
    long overTargetForNanos(long now) {
        return overTargetSinceNanos == NEVER ? 0 : now - overTargetSinceNanos;
    }

    /**
     * Returns the progress since the last measurement in percent per second, and starts the next measurement; -1 if the
     * last one is too recent.
     */
    double takeProgress(long now) {
        long nanos = now - windowStartNanos;
        if (nanos < MIN_PROGRESS_WINDOW_NANOS) {
            return -1;
        }
        double progress = (percent - windowPercent) * (double) TimeUnit.SECONDS.toNanos(1) / nanos;
        windowPercent = percent;
        windowStartNanos = now;
        return Math.max(0, progress);
    }

    long firstListedNanos() {
        return firstListedNanos;
    }

    int percent() {
        return percent;
    }

    long percentChangedNanos() {
        return percentChangedNanos;
    }

    String checkpoint() {
        return checkpoint;
    }

    long gauge() {
        return gauge;
    }
}
