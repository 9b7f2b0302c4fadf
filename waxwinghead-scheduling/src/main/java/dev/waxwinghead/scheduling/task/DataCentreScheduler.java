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
 * Schedules the tasks of one data centre in one term.
 *
 * <p>It reads the task table, hears the workers and hands out transitions to propose. It never changes the table
 * itself, and gives no command that the table does not already stand for. Used by one thread at a time; every call that
 * depends on time is given the reading of one monotonic clock.
 *
 * @since 0.1
 */
public final class DataCentreScheduler {
    private static final long FIRST_RETRY_NANOS = 1_000_000_000L;
    private static final int MOST_RETRY_DOUBLINGS = 6;

    private final DataCentreId dataCentre;
    private final long term;
    private final TaskTable table;
    private final SchedulerTimes times;
    private final long predecessorEndNanos;
    private final PlacementIndex index;
    private final Commitments commitments;
    private final WaitingQueue queue = new WaitingQueue();
    private final Outbox outbox = new Outbox();
    private final Map<WorkerId, WorkerEntry> workers = new HashMap<>();
    private final WorkerHealth<ManifestKey> health = WorkerHealth.create();
    private final QuotaLedger quotas = QuotaLedger.create();
    private final PlacementRound placement;
    private final PollHandler polls;
    private long authorityUntilNanos;
    private long lastNanos;

    private DataCentreScheduler(
            SchedulerTerm term,
            TaskTable table,
            SchedulerTimes times,
            WorkerScore score,
            Learning learning,
            long sentNanos,
            long now) {
        this.dataCentre = term.dataCentre();
        this.term = term.term();
        this.lastNanos = now;
        learning.begin();
        this.table = table;
        this.times = times;
        this.predecessorEndNanos = now + SchedulerTimes.surelyOverNanos(term);
        this.index = PlacementIndex.create(score);
        this.commitments = new Commitments(index, learning);
        this.polls = new PollHandler(
                table, outbox, commitments, times, health, new PressureRelief(table, outbox, commitments, learning));
        this.placement = new PlacementRound(table, queue, outbox, commitments, index, health, quotas, workers);

        renewed(sentNanos);
        table.tasks().forEach(task -> refresh(task.id()));
    }

    /**
     * Returns the scheduler of a term that has just been acquired.
     *
     * @param term the term
     * @param table the table, which holds the term already
     * @param times the leases
     * @param score rates workers
     * @param learning what is learned from measurements
     * @param sentNanos when the request for the term was sent
     * @param now the time now
     * @return the scheduler, never null
     */
    public static DataCentreScheduler create(
            SchedulerTerm term,
            TaskTable table,
            SchedulerTimes times,
            WorkerScore score,
            Learning learning,
            long sentNanos,
            long now) {
        return new DataCentreScheduler(term, table, times, score, learning, sentNanos, now);
    }

    /**
     * Returns the term.
     *
     * @return the log index that fences this scheduler
     */
    public long term() {
        return term;
    }

    /**
     * Extends the scheduler's authority after a majority has confirmed a renewal.
     *
     * @param sentNanos when the request for the renewal was sent
     */
    public void renewed(long sentNanos) {
        authorityUntilNanos = sentNanos + times.schedulerLeaseNanos();
    }

    /**
     * Tells whether the scheduler may still grant leases.
     *
     * @param now the time now
     * @return false once its authority has run out
     */
    public boolean authorized(long now) {
        return now - authorityUntilNanos < 0;
    }

    /**
     * Takes in that a task's record may have changed.
     *
     * @param id the task
     */
    public void refresh(TaskId id) {
        TaskRecord task = table.task(id).orElse(null);
        OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
        boolean startPending = outbox.pending(id) instanceof Transition.Start;
        if (owner != null && task.attempt() != null) {
            quotas.hold(id, owner.team(), task.attempt().resources());
        } else if (!startPending) {
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
        } else if (!startPending) {
            commitments.remove(id, lastNanos);
        }
        if (task.state() == TaskState.WAITING && !startPending) {
            queue.add(task, owner);
        } else {
            queue.remove(id);
        }
    }

    /**
     * Replaces the quotas.
     *
     * @param next the quotas by team
     */
    public void quotas(Map<TeamName, QuotaManifest> next) {
        quotas.quotas(next);
    }

    /**
     * Answers a worker's poll.
     *
     * @param report what the worker says
     * @param now the time now, read after the report was received and just before this call
     * @return the answer, never null
     */
    public PollAnswer poll(PollReport report, long now) {
        if (!authorized(now) || !report.worker().dataCentre().equals(dataCentre)) {
            return PollAnswer.nothing(term);
        }
        WorkerId id = report.worker().id();
        WorkerEntry entry = workers.get(id);
        if (entry != null && (entry.overtaken(report) || polls.losing(report))) {
            return PollAnswer.nothing(term);
        }
        if (entry == null) {
            entry = new WorkerEntry(report, now);
            workers.put(id, entry);
        } else {
            entry.update(report, now);
        }
        lastNanos = now;
        entry.heard(report.schedulerTerm() == term);
        entry.grant(now + SchedulerTimes.withMargin(times.workerLeaseNanos()));
        commitments.describe(report.worker());
        index.setSchedulable(id, takesTasks(entry));
        List<WorkerCommand> commands = polls.handle(report, entry, now);
        entry.retain(commitments.tasksOn(id));
        return new PollAnswer(term, times.workerLeaseNanos(), commands);
    }

    /**
     * Does what time asks for: gives up on silent workers and places waiting tasks.
     *
     * @param now the time now
     */
    public void tick(long now) {
        if (!authorized(now)) {
            return;
        }
        lastNanos = now;
        loseSilentWorkers(now);
        reviewWorkers(now);
        moveFromDrainingWorkers();
        queue.due(now).forEach(this::refresh);
        placement.placeWaiting(now);
    }

    /**
     * Returns transitions to propose. Each is then settled exactly once.
     *
     * @param most the most to return
     * @return the transitions, empty if there are none
     */
    public List<Transition> takeTransitions(int most) {
        return outbox.take(most);
    }

    /**
     * Takes in that proposed transitions were decided: they stand in the table by now, or never will.
     *
     * @param transitions what {@link #takeTransitions} returned
     * @param now the time now
     */
    public void settle(List<Transition> transitions, long now) {
        for (Transition transition : transitions) {
            outbox.settle(transition);
            delayRetry(transition, now);
            refresh(transition.task());
        }
    }

    /**
     * Returns why the tasks of a service or job were not placed at the last try.
     *
     * @return the reasons by owner
     */
    public Map<ManifestKey, String> refusals() {
        return placement.refusals();
    }

    /**
     * Returns how the workers stand.
     *
     * @return one element per worker that was heard of in this term
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
        if (drains(id, entry)) {
            return WorkerSummary.State.DRAINING;
        }
        return health.quarantined(id) ? WorkerSummary.State.QUARANTINED : WorkerSummary.State.READY;
    }

    private boolean drains(WorkerId id, WorkerEntry entry) {
        return entry.leaving() || table.draining(id, entry.incarnation());
    }

    private boolean takesTasks(WorkerEntry entry) {
        return entry.heard() && !drains(entry.description().id(), entry);
    }

    private void loseSilentWorkers(long now) {
        for (WorkerEntry entry : workers.values()) {
            if (!entry.lost() && entry.grantsRanOut(now)) {
                index.setSchedulable(entry.description().id(), false);
                entry.markLost();
            } else if (now - entry.lastPollNanos() >= times.workerLeaseNanos() / 2) {
                index.setSchedulable(entry.description().id(), false);
            }
        }
        for (WorkerId worker : List.copyOf(commitments.workers())) {
            if (surelyStopped(worker, now)) {
                commitments.tasksOn(worker).forEach(this::lose);
            }
        }
    }

    /** A worker that obeys this term has no other lease; any other may hold one of the term before. */
    private boolean surelyStopped(WorkerId worker, long now) {
        WorkerEntry entry = workers.get(worker);
        if (entry != null && !entry.grantsRanOut(now)) {
            return false;
        }
        return (entry != null && entry.obeys()) || now - predecessorEndNanos >= 0;
    }

    private void lose(TaskId id) {
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

    private void moveFromDrainingWorkers() {
        workers.forEach((id, entry) -> {
            if (drains(id, entry) && entry.heard()) {
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

    private void delayRetry(Transition transition, long now) {
        boolean failed = transition instanceof Transition.Report report
                && (report.kind() == Transition.Kind.FAILED || report.kind() == Transition.Kind.COMPLETED);
        TaskRecord task = failed ? table.task(transition.task()).orElse(null) : null;
        if (task != null && task.state() == TaskState.WAITING) {
            int doublings = Math.min(Math.max(0, task.failures() - 1), MOST_RETRY_DOUBLINGS);
            queue.delay(task.id(), now + (FIRST_RETRY_NANOS << doublings));
        }
    }

    static Workload workload(OwnerRecord owner) {
        return Workload.of(owner.key(), owner.service(), owner.labels(), owner.resources(), owner.placement());
    }
}
