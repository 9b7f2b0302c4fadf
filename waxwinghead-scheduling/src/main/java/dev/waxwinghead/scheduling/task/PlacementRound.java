package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import dev.waxwinghead.scheduling.placement.PlacementDecision;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.quota.QuotaLedger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Gives waiting tasks to workers, in the order of the queue. An owner that is refused keeps no other waiting. */
final class PlacementRound {
    private static final int MOST_PLACEMENTS = 4_000;

    private final TaskTable table;
    private final WaitingQueue queue;
    private final Outbox outbox;
    private final Commitments commitments;
    private final PlacementIndex index;
    private final WorkerHealth health;
    private final QuotaLedger quotas;
    private final Map<WorkerId, WorkerEntry> workers;
    private final Preemption preemption;
    private final Map<ManifestKey, String> refusals = new HashMap<>();

    PlacementRound(
            TaskTable table,
            WaitingQueue queue,
            Outbox outbox,
            Commitments commitments,
            PlacementIndex index,
            WorkerHealth health,
            QuotaLedger quotas,
            Map<WorkerId, WorkerEntry> workers) {
        this.table = table;
        this.queue = queue;
        this.outbox = outbox;
        this.commitments = commitments;
        this.index = index;
        this.health = health;
        this.quotas = quotas;
        this.workers = workers;
        this.preemption = new Preemption(table, outbox, commitments, index, quotas, health, workers);
    }

    Map<ManifestKey, String> refusals() {
        return Map.copyOf(refusals);
    }

    void placeWaiting(long now) {
        refusals.clear();
        int placed = 0;
        for (ManifestKey key : queue.owners()) {
            Optional<OwnerRecord> owner = table.owner(key);
            while (owner.isPresent() && placed < MOST_PLACEMENTS && placeFirst(owner.get(), now)) {
                placed++;
            }
        }
    }

    private boolean placeFirst(OwnerRecord owner, long now) {
        TaskId id = queue.first(owner.key());
        TaskRecord task = id == null ? null : table.task(id).orElse(null);
        if (task == null || task.state() != TaskState.WAITING) {
            return false;
        }
        Optional<String> quota = quotas.refusal(owner.team(), owner.resources(), !owner.service());
        if (quota.isPresent()) {
            refusals.put(owner.key(), quota.get());
            return false;
        }
        Workload workload = DataCentreScheduler.workload(owner);
        PlacementDecision decision = index.choose(
                workload, worker -> health.accepts(worker, owner.key(), now), health.failedOn(owner.key()));
        if (decision.worker().isEmpty()) {
            refusals.put(owner.key(), decision.reason());
            preemption.makeRoom(owner, workload, now);
            return false;
        }
        start(task, owner, workload, decision.worker().get(), now);
        return true;
    }

    private void start(TaskRecord task, OwnerRecord owner, Workload workload, WorkerId worker, long now) {
        int attempt = task.attempts() + 1;
        long incarnation = workers.get(worker).incarnation();
        outbox.add(new Transition.Start(task.id(), attempt, worker, incarnation, workload.resources()));
        commitments.put(task.id(), attempt, worker, workload, workload.resources(), now);
        quotas.hold(task.id(), owner.team(), workload.resources());
        health.started(worker);
        index.restrict(worker, health.restricted(worker));
        queue.remove(task.id());
    }
}
