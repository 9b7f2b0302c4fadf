package dev.waxwinghead.scheduling.job;

import java.util.Optional;

/** Measures the capacity that the table counts for runs that their workers' reports do not cover. */
final class UnlistedRoom {
    private final SchedulerState state;

    UnlistedRoom(SchedulerState state) {
        this.state = state;
    }

    /** Returns the processor time of the runs that no report has listed for too long, in millicores. */
    long millicores(long now) {
        long millicores = 0;
        for (WorkerIncarnation worker : state.table().busyWorkers()) {
            Optional<WorkerEntry> entry = state.workers().find(worker);
            for (RunKey run : state.table().runsOn(worker)) {
                if (overdue(entry, run, now)) {
                    millicores += state.step(run.task())
                            .map(step -> step.need().millicores())
                            .orElse(0L);
                }
            }
        }
        return millicores;
    }

    private boolean overdue(Optional<WorkerEntry> entry, RunKey run, long now) {
        if (entry.isEmpty()) {
            return now - state.takenOverNanos() >= UnlistedRuns.OVERDUE_NANOS;
        }
        return entry.get().silentFor(now, UnlistedRuns.OVERDUE_NANOS)
                || entry.get().overdue(run);
    }
}
