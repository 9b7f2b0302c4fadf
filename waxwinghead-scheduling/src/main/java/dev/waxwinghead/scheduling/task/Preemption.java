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
 * Evicts tasks for those that go before them: urgent jobs and services take the place of other jobs, and jobs within
 * their quota take that of borrowers.
 *
 * <p>Each task is made room for once per interval, so that room that is about to come free is not made twice.
 */
final class Preemption {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MOST_WORKERS_LOOKED_AT = 64;
    private static final int MOST_AT_ONCE = 16;

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final PlacementIndex index;
    private final QuotaLedger quotas;
    private final WorkerHealth<ManifestKey> health;
    private final Map<WorkerId, WorkerEntry> workers;
    private final Map<ManifestKey, Deque<Long>> madeRoomAtNanos = new HashMap<>();

    Preemption(
            TaskTable table,
            Outbox outbox,
            Commitments commitments,
            PlacementIndex index,
            QuotaLedger quotas,
            WorkerHealth<ManifestKey> health,
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
     * Makes room for as many tasks of an owner as wait, once per interval for each. Lent quota is taken back one task
     * at a time, so that no more is taken than was lent.
     */
    void makeRoom(OwnerRecord owner, Workload workload, int waiting, long now) {
        if (!first(owner) && !quotas.within(owner.team(), owner.resources())) {
            return;
        }
        Deque<Long> made = madeRoomAtNanos.computeIfAbsent(owner.key(), key -> new ArrayDeque<>());
        while (!made.isEmpty() && now - made.peekFirst() >= INTERVAL_NANOS) {
            made.pollFirst();
        }
        int wanted = first(owner) ? Math.min(waiting, MOST_AT_ONCE) : 1;
        while (made.size() < wanted && makeRoomOnce(owner, workload, now)) {
            made.addLast(now);
        }
        if (made.isEmpty()) {
            madeRoomAtNanos.remove(owner.key());
        }
    }

    private boolean makeRoomOnce(OwnerRecord owner, Workload workload, long now) {
        List<TaskId> cheapest = List.of();
        for (WorkerId worker : index.workersWithCapacity(
                workload, id -> health.accepts(id, owner.key(), now), MOST_WORKERS_LOOKED_AT)) {
            List<TaskId> victims = victims(worker, owner, now);
            if (!victims.isEmpty() && (cheapest.isEmpty() || victims.size() < cheapest.size())) {
                cheapest = victims;
            }
        }
        cheapest.forEach(this::evict);
        return !cheapest.isEmpty();
    }

    private List<TaskId> victims(WorkerId worker, OwnerRecord newcomer, long now) {
        List<Victim> candidates = new ArrayList<>();
        for (TaskId id : commitments.tasksOn(worker)) {
            TaskRecord task = table.task(id).orElse(null);
            OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
            if (owner != null && task.attempt() != null && !outbox.holds(id) && mayReplace(newcomer, owner, task)) {
                candidates.add(victim(task, owner, now));
            }
        }
        return VictimSelector.choose(
                newcomer.resources(),
                workers.get(worker).description().capacity(),
                index.committed(worker),
                candidates);
    }

    private Victim victim(TaskRecord task, OwnerRecord owner, long now) {
        long lost = task.checkpoint() == null ? now - commitments.sinceNanos(task.id()) : 0;
        return new Victim(
                task.id(),
                task.attempt().resources(),
                quotas.borrows(owner.team()),
                ((JobManifest) owner.manifest()).priority(),
                lost);
    }

    private boolean mayReplace(OwnerRecord newcomer, OwnerRecord owner, TaskRecord task) {
        boolean running = task.state() == TaskState.RUNNING || task.state() == TaskState.STARTING;
        if (!running || owner.service() || urgent(owner)) {
            return false;
        }
        return first(newcomer) || (quotas.borrows(owner.team()) && !owner.team().equals(newcomer.team()));
    }

    private static boolean first(OwnerRecord owner) {
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
