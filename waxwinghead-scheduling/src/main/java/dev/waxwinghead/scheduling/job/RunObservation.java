package dev.waxwinghead.scheduling.job;

/** Holds what a worker's reports told of one run. */
final class RunObservation {
    private int percent;
    private long percentChangedNanos;
    private String checkpoint;
    private long gauge;

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
