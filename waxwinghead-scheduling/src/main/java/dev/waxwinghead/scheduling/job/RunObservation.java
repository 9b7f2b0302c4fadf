package dev.waxwinghead.scheduling.job;

/** Holds what a worker's reports told of one run. */
final class RunObservation {
    private static final long NEVER = Long.MIN_VALUE;

    private int percent;
    private long percentChangedNanos;
    private String checkpoint;
    private long gauge;
    private long overTargetNanos = NEVER;

    RunObservation(WorkerReport.RunningTask task, long now) {
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

    /** Notes whether the task, a serving one, is over its target now. */
    void noteOverTarget(boolean over, long now) {
        if (!over) {
            overTargetNanos = NEVER;
        } else if (overTargetNanos == NEVER) {
            overTargetNanos = now;
        }
    }

    /** Returns for how long the task has been over its target without a break, in nanoseconds. */
    long overTargetSince(long now) {
        return overTargetNanos == NEVER ? 0 : now - overTargetNanos;
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
