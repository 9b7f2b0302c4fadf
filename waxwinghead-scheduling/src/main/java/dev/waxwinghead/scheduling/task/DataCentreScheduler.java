package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.quota.QuotaLedger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Schedules the tasks of one data centre during one term.
 *
 * <p>A scheduler reads the task table, answers the polls of workers and returns transitions to propose. A scheduler
 * never changes the table itself, and sends workers only commands that follow from the applied state of the table. Not
 * thread-safe. All times passed to a scheduler are readings of one monotonic clock, in nanoseconds.
 *
 * @since 0.1
 */
public final class DataCentreScheduler {
    private static final long INITIAL_RETRY_DELAY_NANOS = 1_000_000_000L;
    private static final int MAX_RETRY_DOUBLINGS = 6;

    private final DataCentreId dataCentre;
    private final long term;
    private final TaskTable table;
    private final LeaseDurations times;
    private final EarlierLeases earlierLeases;
    private final PlacementIndex index;
    private final Commitments commitments;
    private final WaitingQueue queue = new WaitingQueue();
    private final Outbox outbox = new Outbox();
    private final Map<WorkerId, WorkerEntry> workers = new HashMap<>();
    private final WorkerHealth<ManifestKey, TaskId> health = WorkerHealth.create();
    private final QuotaLedger quotas = QuotaLedger.create();
    private final PlacementRound placementRound;
    private final PollHandler pollHandler;
    private long authorityUntilNanos;
    private long lastNanos;

    private DataCentreScheduler(
            SchedulerTerm term,
            TaskTable table,
            LeaseDurations times,
            EarlierLeases earlierLeases,
            WorkerScore score,
            LearnedCostModel learning,
            long sentNanos,
            long now) {
        this.dataCentre = term.dataCentre();
        this.term = term.term();
        this.lastNanos = now;
        learning.resetHistory();
        this.table = table;
        this.times = times;
        this.earlierLeases = earlierLeases;
        this.index = PlacementIndex.create(score);
        this.commitments = new Commitments(index, learning);
        this.pollHandler = new PollHandler(
                table, outbox, commitments, times, health, new PressureRelief(table, outbox, commitments, learning));
        this.placementRound = new PlacementRound(table, queue, outbox, commitments, index, health, quotas, workers);

        extendAuthority(sentNanos);
        table.tasks().forEach(task -> refreshTask(task.id()));
    }

    /**
     * Creates the scheduler of a term that has just been acquired.
     *
     * @param term the term
     * @param table the task table, which already contains the term
     * @param times the lease durations
     * @param score the score that ranks workers
     * @param learning the model that learns from measurements
     * @param sentNanos when the request for the term was sent
     * @param now the current time
     * @return the new scheduler, never null
     */
    public static DataCentreScheduler create(
            SchedulerTerm term,
            TaskTable table,
            LeaseDurations times,
            WorkerScore score,
            LearnedCostModel learning,
            long sentNanos,
            long now) {
        EarlierLeases earlierLeases = EarlierLeases.unknown(now + LeaseDurations.termExpiryNanos(term));
        return new DataCentreScheduler(term, table, times, earlierLeases, score, learning, sentNanos, now);
    }

    /**
     * Creates the scheduler of a term that the same host has acquired directly after the term of this scheduler. The
     * new scheduler knows which leases this one has granted, so it need not wait for other leases of this term. This
     * scheduler must not be used any more.
     *
     * @param next the new term
     * @param score the score that ranks workers
     * @param learning the model that learns from measurements
     * @param sentNanos when the request for the new term was sent
     * @param now the current time, of the clock that this scheduler has used
     * @return the new scheduler, never null
     */
    public DataCentreScheduler succeed(
            SchedulerTerm next, WorkerScore score, LearnedCostModel learning, long sentNanos, long now) {
        Map<WorkerId, Long> expiries = new HashMap<>();
        workers.forEach((id, entry) -> expiries.put(id, leasesExpireNanos(id, entry)));
        return new DataCentreScheduler(
                next, table, times, earlierLeases.with(expiries), score, learning, sentNanos, now);
    }

    /**
     * Returns the term of this scheduler.
     *
     * @return the log index that fences this scheduler
     */
    public long term() {
        return term;
    }

    /**
     * Extends the authority of this scheduler after a majority has confirmed a renewal.
     *
     * @param sentNanos when the request for the renewal was sent
     */
    public void extendAuthority(long sentNanos) {
        authorityUntilNanos = sentNanos + times.schedulerLeaseNanos();
    }

    /**
     * Returns whether this scheduler may still grant leases.
     *
     * @param now the current time
     * @return false once the authority of this scheduler has expired
     */
    public boolean authorized(long now) {
        return now - authorityUntilNanos < 0;
    }

    /**
     * Updates the state derived from a task after the record of that task may have changed. A task with a pending
     * transition keeps its commitments and is not placed until the transition is settled.
     *
     * @param id the task
     */
    public void refreshTask(TaskId id) {
        TaskRecord task = table.task(id).orElse(null);
        OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
        boolean pending = outbox.contains(id);
        if (owner != null && task.attempt() != null) {
            quotas.hold(id, owner.team(), task.attempt().resources());
        } else if (!pending) {
            quotas.release(id);
        }
        if (owner == null || !dataCentre.equals(task.dataCentre())) {
            commitments.remove(id, lastNanos);
            queue.remove(id);
            return;
        }
        if (task.attempt() != null) {
            Attempt live = task.attempt();
            commitments.put(id, live.number(), live.worker(), workload(owner), live.resources(), lastNanos);
        } else if (!pending) {
            commitments.remove(id, lastNanos);
        }
        if (task.state() == TaskState.WAITING && !pending) {
            queue.add(task, owner);
        } else {
            queue.remove(id);
        }
    }

    /**
     * Replaces the quotas.
     *
     * @param next the new quotas by team
     */
    public void quotas(Map<TeamName, QuotaManifest> next) {
        quotas.replaceQuotas(next);
    }

    /**
     * Answers a poll of a worker.
     *
     * @param report the report of the worker
     * @param now the current time, read after the report was received and just before this call
     * @return the answer, never null
     */
    public PollAnswer poll(PollReport report, long now) {
        if (!authorized(now) || !report.worker().dataCentre().equals(dataCentre)) {
            return PollAnswer.withoutLease(term);
        }
        WorkerId id = report.worker().id();
        WorkerEntry entry = workers.get(id);
        if (entry != null && (entry.isStale(report) || pollHandler.hasPendingLoss(report))) {
            return PollAnswer.withoutLease(term);
        }
        if (entry == null) {
            entry = new WorkerEntry(report, now);
            workers.put(id, entry);
        } else {
            entry.update(report, now);
        }
        lastNanos = now;
        entry.confirmsTerm(report.schedulerTerm() == term);
        entry.grantLease(now + LeaseDurations.withDriftMargin(times.workerLeaseNanos()));
        commitments.putWorker(report.worker());
        index.setSchedulable(id, acceptsTasks(entry));
        List<WorkerCommand> commands = pollHandler.handle(report, entry, now);
        entry.retainTasks(commitments.tasksOn(id));
        return new PollAnswer(term, times.workerLeaseNanos(), commands);
    }

    /**
     * Performs the periodic work: reports tasks on silent workers as lost, evicts tasks from draining workers and
     * places waiting tasks unless the data centre is drained.
     *
     * @param now the current time
     */
    public void tick(long now) {
        if (!authorized(now)) {
            return;
        }
        lastNanos = now;
        expireSilentWorkers(now);
        reviewWorkers(now);
        evictFromDrainingWorkers();
        queue.removeDue(now).forEach(this::refreshTask);
        if (table.drained(dataCentre)) {
            placementRound.suspend();
        } else {
            placementRound.placeWaiting(now);
        }
    }

    /**
     * Removes and returns transitions to propose. The caller must pass each transition to {@link #settle} exactly once.
     *
     * @param limit the maximum number of transitions to return
     * @return the transitions, empty if there are none; never null
     */
    public List<Transition> takeTransitions(int limit) {
        return outbox.take(limit);
    }

    /**
     * Completes proposed transitions, each of which has been applied to the table or never will be.
     *
     * @param transitions transitions that {@link #takeTransitions} returned
     * @param now the current time
     */
    public void settle(List<Transition> transitions, long now) {
        for (Transition transition : transitions) {
            outbox.settle(transition);
            delayRetry(transition, now);
            refreshTask(transition.task());
        }
    }

    /**
     * Returns why waiting tasks were not placed in the latest placement round.
     *
     * @return the reasons by service or job, never null
     */
    public Map<ManifestKey, String> refusals() {
        return placementRound.refusals();
    }

    /**
     * Returns summaries of the workers.
     *
     * @return one summary per worker that has polled in this term, never null
     */
    public List<WorkerSummary> workers() {
        List<WorkerSummary> summaries = new ArrayList<>(workers.size());
        workers.forEach((id, entry) -> summaries.add(new WorkerSummary(
                entry.description(),
                entry.incarnation(),
                index.committed(id),
                state(id, entry),
                entry.lastPollNanos())));
        return summaries;
    }

    private WorkerSummary.State state(WorkerId id, WorkerEntry entry) {
        if (entry.lost()) {
            return WorkerSummary.State.LOST;
        }
        if (isDraining(id, entry)) {
            return WorkerSummary.State.DRAINING;
        }
        return health.quarantined(id) ? WorkerSummary.State.QUARANTINED : WorkerSummary.State.READY;
    }

    private boolean isDraining(WorkerId id, WorkerEntry entry) {
        return entry.leaving() || table.draining(id, entry.incarnation());
    }

    private boolean acceptsTasks(WorkerEntry entry) {
        return entry.confirmsTerm() && !isDraining(entry.description().id(), entry);
    }

    private void expireSilentWorkers(long now) {
        for (WorkerEntry entry : workers.values()) {
            if (!entry.lost() && entry.leasesExpired(now)) {
                index.setSchedulable(entry.description().id(), false);
                entry.markLost();
            } else if (now - entry.lastPollNanos() >= times.workerLeaseNanos() / 2) {
                index.setSchedulable(entry.description().id(), false);
            }
        }
        for (WorkerId worker : List.copyOf(commitments.workers())) {
            if (hasCertainlyStopped(worker, now)) {
                commitments.tasksOn(worker).forEach(this::reportLost);
            }
        }
    }

    /** Returns whether a worker has certainly stopped its tasks. */
    private boolean hasCertainlyStopped(WorkerId worker, long now) {
        return now - leasesExpireNanos(worker, workers.get(worker)) >= 0;
    }

    /**
     * Returns when all leases of a worker have certainly expired. A worker that has confirmed this term has no lease of
     * another term; any other worker may still have a lease of an earlier term.
     */
    private long leasesExpireNanos(WorkerId worker, WorkerEntry entry) {
        long earlier = earlierLeases.expireNanos(worker);
        if (entry == null) {
            return earlier;
        }
        long granted = entry.leasesExpireNanos();
        return entry.hasConfirmedTerm() || granted - earlier >= 0 ? granted : earlier;
    }

    private void reportLost(TaskId id) {
        table.task(id)
                .flatMap(TaskRecord::liveAttempt)
                .ifPresent(
                        attempt -> outbox.add(new Transition.Report(Transition.Kind.LOST, id, attempt.number(), null)));
    }

    private void reviewWorkers(long now) {
        for (WorkerId worker : workers.keySet()) {
            health.review(worker, now);
            index.setRestricted(worker, health.restricted(worker));
        }
    }

    private void evictFromDrainingWorkers() {
        workers.forEach((id, entry) -> {
            if (isDraining(id, entry) && entry.confirmsTerm()) {
                commitments.tasksOn(id).forEach(this::evict);
            }
        });
    }

    private void evict(TaskId id) {
        TaskRecord task = table.task(id).orElse(null);
        if (task != null && task.attempt() != null && task.state() != TaskState.STOPPING) {
            outbox.add(new Transition.Report(
                    Transition.Kind.EVICTING, id, task.attempt().number(), null));
        }
    }

    /** Delays the next start of a failed task. The delay counts from the last start, so a long run is not delayed. */
    private void delayRetry(Transition transition, long now) {
        boolean failed = transition instanceof Transition.Report report
                && (report.kind() == Transition.Kind.FAILED || report.kind() == Transition.Kind.COMPLETED);
        TaskRecord task = failed ? table.task(transition.task()).orElse(null) : null;
        if (task != null && task.state() == TaskState.WAITING) {
            int doublings = Math.min(Math.max(0, task.failures() - 1), MAX_RETRY_DOUBLINGS);
            long until = commitments.sinceNanos(task.id(), now) + (INITIAL_RETRY_DELAY_NANOS << doublings);
            if (until - now > 0) {
                queue.delay(task.id(), until);
            }
        }
    }

    static Workload workload(OwnerRecord owner) {
        return Workload.of(owner.key(), owner.service(), owner.labels(), owner.resources(), owner.placement());
    }
}
