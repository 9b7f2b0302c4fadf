package dev.waxwinghead.scheduling.job;

/** Holds what a worker's reports told of one run. */
final class RunObservation {
    private final long firstSeenNanos;
    private int percent;
    private long percentChangedNanos;
    private String checkpoint;
    private long gauge;

    RunObservation(WorkerReport.RunningTask task, long now) {
        this.firstSeenNanos = now;
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

    /** Starts the time without progress anew, as after a time at which the task was kept from work. */
    void excuse(long now) {
        percentChangedNanos = now;
    }

    long firstSeenNanos() {
        return firstSeenNanos;
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
