package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.scheduling.job.WorkerReport.EndedRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds since when the lasting tasks of a {@link ModelFleet} that ran have had no run, and when one is due. */
final class LastingTaskWaits {
    private final long reportedBoundMillis;
    private final long lostBoundMillis;
    private final Map<TaskKey, Wait> waits = new HashMap<>();
    private final Map<WorkerIncarnation, Long> goneMillis = new HashMap<>();

    /**
     * Creates a record without waits.
     *
     * @param reportedBoundMillis the longest wait after an end that the worker has reported
     * @param lostBoundMillis the longest wait after an end that only an expired lease shows
     */
    LastingTaskWaits(long reportedBoundMillis, long lostBoundMillis) {
        this.reportedBoundMillis = reportedBoundMillis;
        this.lostBoundMillis = lostBoundMillis;
    }

    void started(TaskKey task) {
        waits.remove(task);
    }

    void ended(RunKey run, long nowMillis) {
        waits.put(run.task(), new Wait(run, nowMillis));
    }

    void gone(WorkerIncarnation worker, long nowMillis) {
        goneMillis.put(worker, nowMillis);
    }

    /** Records that the ends have reached the acting scheduler. */
    void reported(List<EndedRun> ends) {
        for (EndedRun end : ends) {
            Wait wait = waits.get(end.run().task());
            if (wait != null && wait.run.equals(end.run())) {
                wait.reported = true;
            }
        }
    }

    /** Lets a task wait anew that was assigned to a worker which has gone before it started the run. */
    void assigned(RunKey run, WorkerIncarnation worker) {
        Wait wait = waits.get(run.task());
        if (wait != null && run.attempt() > wait.run.attempt() && goneMillis.containsKey(worker)) {
            waits.put(run.task(), new Wait(run, goneMillis.get(worker)));
        }
    }

    /** Returns whether a task has run and has no run now. */
    boolean waits(TaskKey task) {
        return waits.containsKey(task);
    }

    /** Records that there is no capacity for a task. */
    void withoutCapacity(TaskKey task, long nowMillis) {
        Optional.ofNullable(waits.get(task)).ifPresent(wait -> wait.capacitySinceMillis = nowMillis);
    }

    /** Lets all waits begin at a time at the earliest. */
    void beginAt(long nowMillis) {
        waits.keySet().forEach(task -> withoutCapacity(task, nowMillis));
    }

    /** Returns since when a task has had no run, empty if a run of it is not overdue. */
    Optional<Long> overdueSince(TaskKey task, long nowMillis) {
        return Optional.ofNullable(waits.get(task))
                .filter(wait -> nowMillis > dueMillis(wait))
                .map(wait -> wait.endedMillis);
    }

    private long dueMillis(Wait wait) {
        long due = Math.max(wait.endedMillis, wait.capacitySinceMillis) + reportedBoundMillis;
        return wait.reported ? due : Math.max(due, wait.endedMillis + lostBoundMillis);
    }

    private static final class Wait {
        private final RunKey run;
        private final long endedMillis;
        private long capacitySinceMillis;
        private boolean reported;

        Wait(RunKey run, long endedMillis) {
            this.run = run;
            this.endedMillis = endedMillis;
        }
    }
}
