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
 * Tracks the resources committed on each worker, from the proposal of an attempt until its end is in the log.
 *
 * <p>Commitments on workers that have not polled yet are tracked too, and are passed on to the index once the worker is
 * described.
 */
final class Commitments {
    private final PlacementIndex index;
    private final LearnedCostModel learning;
    private final Map<TaskId, Commitment> byTask = new HashMap<>();
    private final Map<WorkerId, Map<TaskId, Commitment>> byWorker = new HashMap<>();

    Commitments(PlacementIndex index, LearnedCostModel learning) {
        this.learning = learning;
        this.index = index;
    }

    void putWorker(WorkerDescription worker) {
        boolean first = !index.contains(worker.id());
        index.putWorker(worker);
        if (first) {
            commitmentsOn(worker.id())
                    .forEach((task, commitment) ->
                            index.commit(commitment.worker, commitment.workload, commitment.resources));
        }
    }

    void put(TaskId task, int attempt, WorkerId worker, Workload workload, Resources resources, long now) {
        Commitment before = byTask.get(task);
        if (before != null && before.attempt == attempt && before.worker.equals(worker)) {
            return;
        }
        remove(task, now);
        Commitment commitment = new Commitment(attempt, worker, workload, resources, now);
        byTask.put(task, commitment);
        learning.taskAdded(worker, workload, now);
        byWorker.computeIfAbsent(worker, key -> new LinkedHashMap<>()).put(task, commitment);
        if (index.contains(worker)) {
            index.commit(worker, workload, resources);
        }
    }

    void remove(TaskId task, long now) {
        Commitment commitment = byTask.remove(task);
        if (commitment == null) {
            return;
        }
        learning.taskRemoved(commitment.worker, commitment.workload, now);
        Map<TaskId, Commitment> tasks = byWorker.get(commitment.worker);
        tasks.remove(task);
        if (tasks.isEmpty()) {
            byWorker.remove(commitment.worker);
        }
        if (index.contains(commitment.worker)) {
            index.release(commitment.worker, commitment.workload, commitment.resources);
        }
    }

    Set<WorkerId> workers() {
        return byWorker.keySet();
    }

    Set<TaskId> tasksOn(WorkerId worker) {
        return commitmentsOn(worker).keySet();
    }

    /** Returns the workload of a committed task. */
    Workload workload(TaskId task) {
        return byTask.get(task).workload;
    }

    /** Returns when the attempt of a task was committed, in nanoseconds; the current time if there is none. */
    long sinceNanos(TaskId task, long now) {
        Commitment commitment = byTask.get(task);
        return commitment == null ? now : commitment.sinceNanos;
    }

    private Map<TaskId, Commitment> commitmentsOn(WorkerId worker) {
        return byWorker.getOrDefault(worker, Map.of());
    }

    private record Commitment(int attempt, WorkerId worker, Workload workload, Resources resources, long sinceNanos) {}
}
