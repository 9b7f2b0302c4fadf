package dev.waxwinghead.scheduling.job;

/** Holds the state of a run according to its worker's reports. */
final class RunObservation {
    private static final long NEVER = Long.MIN_VALUE;

    private int percent;
    private long percentChangedNanos;
    private String checkpoint;
    private long gauge;
    private long overTargetSinceNanos = NEVER;

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
