package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import dev.waxwinghead.scheduling.placement.PlacementDecision;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.quota.QuotaLedger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Places waiting tasks on workers, in the order of the queue. An owner whose task cannot be placed does not block other
 * owners, and owners within their quota are served before owners that borrow.
 */
final class PlacementRound {
    private static final int MAX_PLACEMENTS = 4_000;
    private static final long MAX_DEFERRAL_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final TaskTable table;
    private final WaitingQueue queue;
    private final Outbox outbox;
    private final Commitments commitments;
    private final PlacementIndex index;
    private final WorkerHealth<ManifestKey, TaskId> health;
    private final QuotaLedger quotas;
    private final Map<WorkerId, WorkerEntry> workers;
    private final Preemption preemption;
    private final Map<ManifestKey, Long> deferredSinceNanos = new HashMap<>();
    private final Map<ManifestKey, String> refusals = new HashMap<>();

    PlacementRound(
            TaskTable table,
            WaitingQueue queue,
            Outbox outbox,
            Commitments commitments,
            PlacementIndex index,
            WorkerHealth<ManifestKey, TaskId> health,
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

    /** Withdraws the reasons of the latest round; called instead of placing tasks while no task may start. */
    void suspend() {
        refusals.clear();
        deferredSinceNanos.clear();
    }

    void placeWaiting(long now) {
        refusals.clear();
        deferredSinceNanos.keySet().removeIf(key -> queue.firstTask(key) == null);
        int remaining = MAX_PLACEMENTS;
        List<ManifestKey> borrowers = new ArrayList<>();
        for (ManifestKey key : queue.owners()) {
            remaining = placeAll(key, remaining, now, false);
            boolean outOfQuota = table.owner(key)
                    .filter(owner -> !quotas.isWithinQuota(owner.team(), owner.resources()))
                    .isPresent();
            if (outOfQuota && queue.waiting(key) > 0) {
                borrowers.add(key);
            }
        }
        for (ManifestKey key : borrowers) {
            remaining = placeAll(key, remaining, now, true);
        }
    }

    private int placeAll(ManifestKey key, int limit, long now, boolean mayBorrow) {
        Optional<OwnerRecord> owner = table.owner(key);
        int remaining = limit;
        while (owner.isPresent() && remaining > 0 && placeFirst(owner.get(), now, mayBorrow)) {
            remaining--;
        }
        return remaining;
    }

    private boolean placeFirst(OwnerRecord owner, long now, boolean mayBorrow) {
        TaskId id = queue.firstTask(owner.key());
        TaskRecord task = id == null ? null : table.task(id).orElse(null);
        if (task == null || task.state() != TaskState.WAITING) {
            return false;
        }
        if (!mayBorrow && !quotas.isWithinQuota(owner.team(), owner.resources())) {
            return false;
        }
        Optional<String> quota = quotas.refusalReason(owner.team(), owner.resources(), !owner.service());
        if (quota.isPresent()) {
            refusals.put(owner.key(), quota.get());
            return false;
        }
        Workload workload = DataCentreScheduler.workload(owner);
        PlacementDecision decision = index.choose(
                workload,
                worker -> health.accepts(worker, owner.key(), now),
                health.failedOn(owner.key()),
                ignoresLatencyLimit(owner, now));
        if (decision.worker().isEmpty()) {
            refusals.put(owner.key(), decision.reason());
            if (decision.isDeferred()) {
                deferredSinceNanos.putIfAbsent(owner.key(), now);
            } else {
                preemption.preemptFor(owner, workload, queue.waiting(owner.key()), now);
            }
            return false;
        }
        deferredSinceNanos.remove(owner.key());
        start(task, owner, workload, decision.worker().get(), now);
        return true;
    }

    /**
     * Returns whether tasks of an owner may be placed where they slow services down. Services and urgent jobs are never
     * deferred for that reason, and other jobs only for a limited time.
     */
    private boolean ignoresLatencyLimit(OwnerRecord owner, long now) {
        Long since = deferredSinceNanos.get(owner.key());
        boolean urgent = owner.manifest() instanceof JobManifest job && job.urgent();
        return owner.service() || urgent || (since != null && now - since >= MAX_DEFERRAL_NANOS);
    }

    private void start(TaskRecord task, OwnerRecord owner, Workload workload, WorkerId worker, long now) {
        int attempt = task.attempts() + 1;
        long incarnation = workers.get(worker).incarnation();
        outbox.add(new Transition.Start(task.id(), attempt, worker, incarnation, workload.resources()));
        commitments.put(task.id(), attempt, worker, workload, workload.resources(), now);
        quotas.hold(task.id(), owner.team(), workload.resources());
        health.started(worker, task.id());
        index.setRestricted(worker, health.restricted(worker));
        queue.remove(task.id());
    }
}
