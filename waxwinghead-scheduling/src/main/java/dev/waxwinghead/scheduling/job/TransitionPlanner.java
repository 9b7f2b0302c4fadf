package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Plans the next transitions to commit: ends, interruptions on lost workers, starts, and removals of jobs. */
final class TransitionPlanner {
    /** The maximum number of transitions of a plan, so that a command stays small. */
    private static final int MAX_TRANSITIONS = 500;

    /** How long a worker that refused a task gets no new tasks: its next report shows its capacity. */
    private static final long REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Workers whose last report is older get no new tasks; workers report several times a second. */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** Covers several reports of a worker, and its search for a new scheduler. */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Scheduling rounds follow each other by a twentieth of a second or less while the scheduler acts. */
    private static final long MAX_PLANNING_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * How long the begin of a job waits for other transitions to be committed with; what callers read may be 2 s old.
     */
    private static final long MAX_BEGUN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SchedulerState state;
    private final DrainMoves drainMoves;
    private long begunPlannedNanos;
    private final Map<JobId, Long> endedNanos = new HashMap<>();
    private final Set<JobId> givenUp = new HashSet<>();
    private long plannedNanos;
    /** Since when this scheduler has planned without a long gap, in which it may not have received reports. */
    private long listeningSinceNanos;

    TransitionPlanner(SchedulerState state) {
        this.state = state;
        this.drainMoves = new DrainMoves(state);
    }

    void takeOver(long now) {
        drainMoves.takeOver();
        plannedNanos = now;
        listeningSinceNanos = now;
        begunPlannedNanos = now;
        for (JobRecord job : state.table().all()) {
            if (job.state().ended()) {
                endedNanos.putIfAbsent(job.id(), now);
            }
        }
    }

    List<JobTransition> plan(long now, long epochMillis) {
        List<JobTransition> plan = new ArrayList<>();
        if (now - plannedNanos > MAX_PLANNING_GAP_NANOS) {
            listeningSinceNanos = now;
        }
        plannedNanos = now;
        state.observeSilences(now);
        state.releaseEndedStarts();
        planEnds(plan, now);
        planEndsOfUnstarted(plan);
        planLosses(plan, now);
        planSilences(plan, now);
        planStarts(plan, now, epochMillis);
        planRemovals(plan, now);
        planBegunJobs(plan, now);
        state.recordPlan(plan);
        return plan;
    }

    /** Adds the jobs that have begun to a plan that is committed anyway, or to an empty one after a while. */
    private void planBegunJobs(List<JobTransition> plan, long now) {
        if (plan.isEmpty() && now - begunPlannedNanos < MAX_BEGUN_DELAY_NANOS) {
            return;
        }
        begunPlannedNanos = now;
        for (JobId job : state.begunJobs()) {
            if (plan.size() < MAX_TRANSITIONS) {
                plan.add(new JobTransition.Begun(job));
            }
        }
    }

    private void planEnds(List<JobTransition> plan, long now) {
        List<WorkerEntry> entries = new ArrayList<>(state.workers().entries());
        entries.addAll(state.workers().earlierIncarnations());
        for (WorkerEntry entry : entries) {
            if (entry.ends().isEmpty()) {
                continue;
            }
            entry.ends().values().removeIf(end -> !state.table().isLive(entry.incarnation(), end.run()));
            for (WorkerReport.EndedRun end : entry.ends().values()) {
                if (plan.size() < MAX_TRANSITIONS) {
                    plan.add(new JobTransition.Ended(end.run(), effect(end), end.checkpoint(), recency(end)));
                    recordEnd(entry, end, now);
                }
            }
        }
    }

    /** Returns the effect of a reported end on its task; a lasting task starts again however its runs end. */
    private RunEnd effect(WorkerReport.EndedRun end) {
        RunEnd effect = end.end().runEnd();
        boolean startsAgain = effect == RunEnd.COMPLETED
                && state.step(end.run().task()).filter(JobStep::lasting).isPresent();
        return startsAgain ? RunEnd.INTERRUPTED_AFTER_START : effect;
    }

    /**
     * Ends runs that are to stop and that no answer can start any more: no report ever lists them, so they would keep
     * their capacity. Limited to tasks that have no further run, which a late listing of the run could overlap, and to
     * starts that a drain has withdrawn for good.
     */
    private void planEndsOfUnstarted(List<JobTransition> plan) {
        for (WorkerEntry entry : state.workers().entries()) {
            if (entry.stopping().isEmpty()) {
                continue;
            }
            for (RunKey run : entry.stopping()) {
                if (plan.size() < MAX_TRANSITIONS
                        && state.table().isLive(entry.incarnation(), run)
                        && neverStarts(entry, run)) {
                    plan.add(new JobTransition.Ended(run, RunEnd.INTERRUPTED, ""));
                    state.events().neverStarted(run, entry.incarnation());
                    state.recordEnd(run);
                    state.health().endedInconclusively(entry.id(), run.task());
                }
            }
        }
    }

    private boolean neverStarts(WorkerEntry entry, RunKey run) {
        boolean inherited = state.inherited(run);
        return entry.withdrawalIsFinal(run, inherited)
                || (!state.mayRunAgain(run.task()) && entry.neverStarts(run, inherited));
    }

    private void recordEnd(WorkerEntry entry, WorkerReport.EndedRun end, long now) {
        state.events().ended(end, entry.incarnation());
        state.recordEnd(end.run());
        TaskKey task = end.run().task();
        recordRestart(end, now);
        switch (end.end()) {
            case COMPLETED -> state.health().succeeded(entry.id(), task.job(), task);
            case FAILED -> {
                state.health().failed(entry.id(), task.job(), task, now);
                state.avoid(task, entry.id());
            }
            case REFUSED -> {
                state.health().endedInconclusively(entry.id(), task);
                entry.refused(now + REFUSAL_BACKOFF_NANOS);
            }
            default -> state.health().endedInconclusively(entry.id(), task);
        }
    }

    /** Counts the end of a lasting run that the task itself has ended. */
    private void recordRestart(WorkerReport.EndedRun end, long now) {
        RunEnd runEnd = end.end().runEnd();
        boolean ownEnd = runEnd == RunEnd.FAILED || runEnd == RunEnd.COMPLETED;
        if (ownEnd && state.step(end.run().task()).filter(JobStep::lasting).isPresent()) {
            state.restartPauses().ended(end.run().task(), now);
        }
    }

    private void planLosses(List<JobTransition> plan, long now) {
        givenUp.clear();
        for (WorkerIncarnation incarnation : List.copyOf(state.table().busyWorkers())) {
            Optional<WorkerEntry> entry = state.workers().find(incarnation);
            if (lost(incarnation, entry, now)) {
                state.events().workerGone(incarnation, lossReason(incarnation, entry));
                planInterruptions(plan, incarnation, entry);
            }
        }
        removeLostWorkers(now);
    }

    private boolean lost(WorkerIncarnation incarnation, Optional<WorkerEntry> entry, long now) {
        if (entry.isPresent()) {
            return entry.get().lost(now);
        }
        return state.workers().superseded(incarnation) || now - state.inheritedLeaseEndNanos(incarnation) >= 0;
    }

    /** Records which workers have fallen silent, so that a later scheduler need not wait anew for their leases. */
    private void planSilences(List<JobTransition> plan, long now) {
        Set<WorkerIncarnation> silences = state.table().silences().keySet();
        for (WorkerIncarnation worker : state.table().busyWorkers()) {
            if (plan.size() >= MAX_TRANSITIONS) {
                return;
            }
            Optional<WorkerEntry> entry = state.workers().find(worker);
            boolean heard = entry.filter(reported -> !reported.silentFor(now, SILENCE_NANOS))
                    .isPresent();
            boolean missed = !heard && now - listeningSinceNanos > SILENCE_NANOS;
            if (heard && silences.contains(worker)) {
                state.events().workerReturned(worker);
                plan.add(new JobTransition.Returned(worker));
            } else if (missed && !silences.contains(worker) && !lost(worker, entry, now)) {
                reportSilence(worker, entry, now);
                plan.add(new JobTransition.Silent(worker));
            }
        }
    }

    private void reportSilence(WorkerIncarnation worker, Optional<WorkerEntry> entry, long now) {
        int runs = state.table().runsOn(worker).size();
        long endNanos = entry.map(WorkerEntry::leaseEndNanos).orElseGet(() -> state.inheritedLeaseEndNanos(worker));
        state.events().workerSilent(worker, runs, entry.isPresent(), TimeUnit.NANOSECONDS.toMillis(endNanos - now));
    }

    private String lossReason(WorkerIncarnation incarnation, Optional<WorkerEntry> entry) {
        boolean restarted =
                entry.map(WorkerEntry::crashed).orElseGet(() -> state.workers().superseded(incarnation));
        if (restarted) {
            return "restarted";
        }
        return entry.isPresent() ? "lease-ended" : "not-heard-of";
    }

    private void planInterruptions(
            List<JobTransition> plan, WorkerIncarnation incarnation, Optional<WorkerEntry> entry) {
        for (RunKey run : state.table().runsOn(incarnation)) {
            boolean ending = entry.isPresent() && entry.get().ends().containsKey(run);
            if (!ending && plan.size() < MAX_TRANSITIONS) {
                RunEnd end = entry.map(known -> known.endOnLoss(run)).orElse(RunEnd.INTERRUPTED);
                plan.add(endOnLoss(run, end, entry));
                state.events().endedWithWorker(run, incarnation, end);
                if (end == RunEnd.WORKER_CRASHED) {
                    recordCrash(run, incarnation);
                }
                state.recordEnd(run);
                state.health().endedInconclusively(incarnation.worker(), run.task());
            }
        }
    }

    private void recordCrash(RunKey run, WorkerIncarnation incarnation) {
        JobRecord job = state.table().find(run.task().job()).orElseThrow();
        int crashes = job.task(run.task()).crashes() + 1;
        state.events().workerCrashed(run, incarnation, crashes);
        if (crashes >= JobTable.MAX_CRASHES && !job.state().ended() && givenUp.add(job.id())) {
            state.events().givenUp(run.task(), crashes);
        }
    }

    /** Returns the end of a run on a lost worker, with the checkpoint that the worker listed last. */
    private JobTransition.Ended endOnLoss(RunKey run, RunEnd end, Optional<WorkerEntry> entry) {
        return entry.map(known -> known.observations().get(run))
                .map(observed -> new JobTransition.Ended(run, end, observed.checkpoint(), recency(run, observed)))
                .orElseGet(() -> new JobTransition.Ended(run, end, ""));
    }

    private int recency(RunKey run, RunObservation observed) {
        return inGang(run) ? CheckpointRecency.whileRunning(observed.percent()) : CheckpointRecency.UNKNOWN;
    }

    private int recency(WorkerReport.EndedRun end) {
        return inGang(end.run()) ? CheckpointRecency.of(end.end()) : CheckpointRecency.UNKNOWN;
    }

    private boolean inGang(RunKey run) {
        return state.step(run.task()).filter(JobStep::gang).isPresent();
    }

    private void removeLostWorkers(long now) {
        for (WorkerEntry entry : List.copyOf(state.workers().entries())) {
            if (entry.lost(now) && state.table().runsOn(entry.incarnation()).isEmpty()) {
                state.workers().remove(entry);
                state.slowWorkers().forget(entry.id());
            }
        }
        for (WorkerEntry entry : List.copyOf(state.workers().earlierIncarnations())) {
            if (entry.lost(now) && entry.silentFor(now, state.times().inheritedLeaseBoundNanos())) {
                state.workers().remove(entry);
            }
        }
    }

    private void planStarts(List<JobTransition> plan, long now, long epochMillis) {
        if (plan.size() >= MAX_TRANSITIONS || state.table().active().isEmpty()) {
            return;
        }
        TaskPlacer placer = placer(now, finiteRunsEndedBy(plan));
        StartPlan starts = new StartPlan(state, placer, now);
        List<JobRecord> jobs = JobOrdering.ordered(state.table(), epochMillis);
        drainMoves.plan(jobs, placer, now);
        jobs.forEach(job -> starts.addReplacements(job, epochMillis));
        for (JobRecord job : jobs) {
            starts.add(job, epochMillis);
            if (plan.size() + starts.transitions().size() >= MAX_TRANSITIONS) {
                break;
            }
        }
        plan.addAll(starts.transitions());
        placer.recordRoom();
    }

    /**
     * Returns the finite runs that end with a plan. Lasting runs are left out: their capacity is kept for the runs that
     * replace them, which can be planned only once the ends are committed.
     */
    private Set<RunKey> finiteRunsEndedBy(List<JobTransition> plan) {
        Set<RunKey> runs = new HashSet<>();
        for (JobTransition transition : plan) {
            if (transition instanceof JobTransition.Ended ended
                    && state.step(ended.run().task()).filter(JobStep::lasting).isEmpty()) {
                runs.add(ended.run());
            }
        }
        return runs;
    }

    /** Returns a placer with the capacity of all workers, including that of the runs that are ending. */
    private TaskPlacer placer(long now, Set<RunKey> ending) {
        ImageTolerance tolerance = ImageTolerance.of(state.table(), state.interference(), now);
        TaskPlacer placer = new TaskPlacer(state.health(), state.slowWorkers(), state.interference(), tolerance, now);
        WorkerCapacities capacities = new WorkerCapacities(state, ending, now);
        for (WorkerEntry entry : state.workers().entries()) {
            state.health().review(entry.id(), now);
            if (acceptsTasks(entry, now)) {
                if (state.drained(entry)) {
                    placer.addDrained(entry);
                } else {
                    placer.add(capacities.of(entry));
                }
            }
        }
        return placer;
    }

    private boolean acceptsTasks(WorkerEntry entry, long now) {
        return !entry.report().leaving()
                && state.mayExtendLease(entry.incarnation())
                && !entry.exitAnnounced()
                && !entry.refusing(now)
                && !entry.silentFor(now, MAX_REPORT_AGE_NANOS);
    }

    private void planRemovals(List<JobTransition> plan, long now) {
        for (JobRecord job : state.table().all()) {
            if (job.state().ended() && endedNanos.putIfAbsent(job.id(), now) == null) {
                state.events().jobEnded(job);
                state.forget(job.id());
            }
        }
        for (JobId canceled : state.table().canceledBeforeArrival()) {
            endedNanos.putIfAbsent(canceled, now);
        }
        endedNanos.entrySet().removeIf(ended -> {
            boolean due = now - ended.getValue() > state.times().retention().toNanos();
            if (due && plan.size() < MAX_TRANSITIONS) {
                plan.add(new JobTransition.Removed(ended.getKey()));
                return true;
            }
            return false;
        });
    }
}
