package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.placement.Workload;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts tasks against their workers, from the moment an attempt is proposed until the log says that it has ended.
 *
 * <p>Workers that have not been heard of yet are counted too; the index learns of their tasks with the worker.
 */
final class Commitments {
    private final PlacementIndex index;
    private final Learning learning;
    private final Map<TaskId, Commitment> byTask = new HashMap<>();
    private final Map<WorkerId, Map<TaskId, Commitment>> byWorker = new HashMap<>();

    Commitments(PlacementIndex index, Learning learning) {
        this.learning = learning;
        this.index = index;
    }

    void describe(WorkerDescription worker) {
        boolean first = !index.contains(worker.id());
        index.describe(worker);
        if (first) {
            onWorker(worker.id()).forEach((task, held) -> index.commit(held.worker, held.workload, held.resources));
        }
    }

    void put(TaskId task, int attempt, WorkerId worker, Workload workload, Resources resources, long now) {
        Commitment before = byTask.get(task);
        if (before != null && before.attempt == attempt && before.worker.equals(worker)) {
            return;
        }
        remove(task, now);
        Commitment held = new Commitment(attempt, worker, workload, resources, now);
        byTask.put(task, held);
        learning.came(worker, workload, now);
        byWorker.computeIfAbsent(worker, key -> new LinkedHashMap<>()).put(task, held);
        if (index.contains(worker)) {
            index.commit(worker, workload, resources);
        }
    }

    void remove(TaskId task, long now) {
        Commitment held = byTask.remove(task);
        if (held == null) {
            return;
        }
        learning.left(held.worker, held.workload, now);
        Map<TaskId, Commitment> tasks = byWorker.get(held.worker);
        tasks.remove(task);
        if (tasks.isEmpty()) {
            byWorker.remove(held.worker);
        }
        if (index.contains(held.worker)) {
            index.release(held.worker, held.workload, held.resources);
        }
    }

    Set<WorkerId> workers() {
        return byWorker.keySet();
    }

    Set<TaskId> tasksOn(WorkerId worker) {
        return onWorker(worker).keySet();
    }

    /** Returns what a task is. */
    Workload workload(TaskId task) {
        return byTask.get(task).workload;
    }

    /** Returns since when a task has been counted. */
    long sinceNanos(TaskId task) {
        return byTask.get(task).sinceNanos;
    }

    private Map<TaskId, Commitment> onWorker(WorkerId worker) {
        return byWorker.getOrDefault(worker, Map.of());
    }

    private record Commitment(int attempt, WorkerId worker, Workload workload, Resources resources, long sinceNanos) {}
}
