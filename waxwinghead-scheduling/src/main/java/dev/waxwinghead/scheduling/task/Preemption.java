package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.eviction.Victim;
import dev.waxwinghead.scheduling.eviction.VictimSelector;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.quota.QuotaLedger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Evicts running tasks in favour of waiting tasks that take precedence. Urgent jobs and services preempt other jobs,
 * and jobs within their quota preempt jobs of teams that borrow.
 *
 * <p>Tasks are evicted at most once per interval for each waiting task, so that resources that are about to be freed
 * are not freed a second time.
 */
final class Preemption {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_WORKERS_EXAMINED = 64;
    private static final int MAX_PREEMPTIONS_PER_INTERVAL = 16;

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final PlacementIndex index;
    private final QuotaLedger quotas;
    private final WorkerHealth<ManifestKey, TaskId> health;
    private final Map<WorkerId, WorkerEntry> workers;
    private final Map<ManifestKey, Deque<Long>> preemptionTimes = new HashMap<>();

    Preemption(
            TaskTable table,
            Outbox outbox,
            Commitments commitments,
            PlacementIndex index,
            QuotaLedger quotas,
            WorkerHealth<ManifestKey, TaskId> health,
            Map<WorkerId, WorkerEntry> workers) {
        this.table = table;
        this.outbox = outbox;
        this.commitments = commitments;
        this.index = index;
        this.quotas = quotas;
        this.health = health;
        this.workers = workers;
    }

    /**
     * Evicts tasks in favour of the waiting tasks of an owner, at most once per interval for each waiting task. Lent
     * quota is reclaimed for one task at a time, so that no more is reclaimed than was lent.
     */
    void preemptFor(OwnerRecord owner, Workload workload, int waiting, long now) {
        if (!hasPrecedence(owner) && !quotas.isWithinQuota(owner.team(), owner.resources())) {
            return;
        }
        Deque<Long> recent = preemptionTimes.computeIfAbsent(owner.key(), key -> new ArrayDeque<>());
        while (!recent.isEmpty() && now - recent.peekFirst() >= INTERVAL_NANOS) {
            recent.pollFirst();
        }
        int limit = hasPrecedence(owner) ? Math.min(waiting, MAX_PREEMPTIONS_PER_INTERVAL) : 1;
        while (recent.size() < limit && preemptOnce(owner, workload, now)) {
            recent.addLast(now);
        }
        if (recent.isEmpty()) {
            preemptionTimes.remove(owner.key());
        }
    }

    private boolean preemptOnce(OwnerRecord owner, Workload workload, long now) {
        List<TaskId> cheapest = List.of();
        for (WorkerId worker :
                index.workersWithCapacity(workload, id -> health.accepts(id, owner.key(), now), MAX_WORKERS_EXAMINED)) {
            List<TaskId> victims = victims(worker, owner, now);
            if (!victims.isEmpty() && (cheapest.isEmpty() || victims.size() < cheapest.size())) {
                cheapest = victims;
            }
        }
        cheapest.forEach(this::evict);
        return !cheapest.isEmpty();
    }

    private List<TaskId> victims(WorkerId worker, OwnerRecord preemptor, long now) {
        List<Victim> candidates = new ArrayList<>();
        for (TaskId id : commitments.tasksOn(worker)) {
            TaskRecord task = table.task(id).orElse(null);
            OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
            if (owner != null && task.attempt() != null && !outbox.contains(id) && mayPreempt(preemptor, owner, task)) {
                candidates.add(victim(task, owner, now));
            }
        }
        return VictimSelector.choose(
                preemptor.resources(),
                workers.get(worker).description().capacity(),
                index.committed(worker),
                candidates);
    }

    private Victim victim(TaskRecord task, OwnerRecord owner, long now) {
        long lost = task.checkpoint() == null ? now - commitments.sinceNanos(task.id(), now) : 0;
        return new Victim(
                task.id(),
                task.attempt().resources(),
                quotas.borrows(owner.team()),
                ((JobManifest) owner.manifest()).priority(),
                lost);
    }

    private boolean mayPreempt(OwnerRecord preemptor, OwnerRecord owner, TaskRecord task) {
        boolean running = task.state() == TaskState.RUNNING || task.state() == TaskState.STARTING;
        if (!running || owner.service() || urgent(owner)) {
            return false;
        }
        return hasPrecedence(preemptor)
                || (quotas.borrows(owner.team()) && !owner.team().equals(preemptor.team()));
    }

    private static boolean hasPrecedence(OwnerRecord owner) {
        return owner.service() || urgent(owner);
    }

    private static boolean urgent(OwnerRecord owner) {
        return owner.manifest() instanceof JobManifest job && job.urgent();
    }

    private void evict(TaskId id) {
        int attempt = table.task(id).orElseThrow().attempt().number();
        outbox.add(new Transition.Report(Transition.Kind.EVICTING, id, attempt, null));
    }
}
