package dev.waxwinghead.scheduling.job;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Determines the capacity of workers at the start of a scheduling round.
 *
 * <p>Answers the load of rounds on thousands of workers of which few have changed: the capacity of a worker is kept
 * until its next report, a change of its runs or an assignment in a round.
 */
final class WorkerCapacities {
    /** The gauges of a report cover about this time, so they do not show the effect of newer runs. */
    private static final long GAUGE_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final SchedulerState state;
    private final Set<RunKey> ending;
    private final Set<WorkerIncarnation> endingWorkers = new HashSet<>();
    private final long now;

    /**
     * Returns the capacities for one round.
     *
     * @param state the state of the scheduler
     * @param ending the runs that end with the round, whose capacity is free
     * @param now the current time, in nanoseconds
     */
    WorkerCapacities(SchedulerState state, Set<RunKey> ending, long now) {
        this.state = state;
        this.ending = ending;
        this.now = now;
        for (RunKey run : ending) {
            job(run).flatMap(job -> job.task(run.task()).find(run.attempt()))
                    .ifPresent(live -> endingWorkers.add(live.worker()));
        }
    }

    /** Returns the capacity of a worker without the tasks that are assigned in this round. */
    WorkerCapacity of(WorkerEntry entry) {
        WorkerIncarnation worker = entry.incarnation();
        if (!endingWorkers.isEmpty() && endingWorkers.contains(worker)) {
            return measure(entry);
        }
        long runChange = state.table().runChange(worker);
        Optional<WorkerCapacity> kept = entry.keptCapacity(runChange);
        if (kept.isPresent()) {
            return kept.get();
        }
        WorkerCapacity capacity = measure(entry);
        if (lasts(entry, capacity)) {
            entry.keepCapacity(capacity, runChange);
        }
        return capacity;
    }

    /**
     * Returns whether a capacity changes only with the worker's report or runs: neither with the time, as with tasks
     * whose effect the gauges are yet to show, nor with jobs that have no live run on the worker.
     */
    private boolean lasts(WorkerEntry entry, WorkerCapacity capacity) {
        return capacity.arriving().isEmpty()
                && state.table()
                        .runsOn(entry.incarnation())
                        .containsAll(entry.observations().keySet());
    }

    private WorkerCapacity measure(WorkerEntry entry) {
        List<InterferenceControl.ResidentTask> residents = state.residents(entry);
        WorkerCapacity capacity = new WorkerCapacity(entry, residents);
        for (RunKey run : state.table().runsOn(entry.incarnation())) {
            if (!ending.contains(run)) {
                job(run).ifPresent(job -> deduct(capacity, job, run));
            }
        }
        return capacity;
    }

    private void deduct(WorkerCapacity capacity, JobRecord job, RunKey run) {
        JobStep step = job.step(run.task()).step();
        WorkerEntry entry = capacity.entry();
        if (step.bestEffort() && !entry.hasListed(run, now - GAUGE_WINDOW_NANOS)) {
            capacity.allocate(step);
        } else {
            capacity.allocateSettled(step);
        }
        if (job.task(run.task()).suspect() && !entry.hasSurvivedStart(run)) {
            capacity.addSuspectOf(job.id());
        }
    }

    private Optional<JobRecord> job(RunKey run) {
        return state.table().find(run.task().job()).filter(job -> job.contains(run.task()));
    }
}
