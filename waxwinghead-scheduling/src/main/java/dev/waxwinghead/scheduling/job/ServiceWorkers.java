package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Holds the workers of one service that accept tasks in one scheduling round, and what was found out about them. */
final class ServiceWorkers {
    /** The share of free capacity from which no job may be left without a running task: one half less a margin. */
    private static final double MOSTLY_FREE_SHARE = 0.45;

    private final List<WorkerCapacity> workers = new ArrayList<>();
    private final List<WorkerCapacity> changes = new ArrayList<>();
    private final Set<WorkerCapacity> selective = new LinkedHashSet<>();
    private final Map<TaskShape, ShapeObstacles> obstacles = new HashMap<>();
    private final Map<TaskShape, List<WorkerCapacity>> withHeadroom = new HashMap<>();
    private final Map<TaskShape, Optional<WorkerCapacity>> closest = new HashMap<>();
    private int mostlyFreeChanges = -1;
    private boolean mostlyFree;

    /**
     * Adds a worker.
     *
     * @param worker the worker
     * @param acceptsEveryJob whether the worker's health lets it take tasks of any job
     */
    void add(WorkerCapacity worker, boolean acceptsEveryJob) {
        worker.position(workers.size());
        workers.add(worker);
        if (!acceptsEveryJob) {
            selective.add(worker);
        }
    }

    /** Returns the workers, by position. */
    List<WorkerCapacity> all() {
        return Collections.unmodifiableList(workers);
    }

    /** Records that a task was assigned to a worker or taken back in this round. */
    void changed(WorkerCapacity worker) {
        changes.add(worker);
        selective.add(worker);
    }

    /**
     * Returns the workers that may not take tasks of every job: restricted ones, and those that were assigned tasks in
     * this round, which may have become restricted by that.
     */
    Set<WorkerCapacity> selective() {
        return Collections.unmodifiableSet(selective);
    }

    /** Returns the obstacles to tasks of a shape with the current capacities. */
    ShapeObstacles obstacles(TaskShape shape, Function<WorkerCapacity, WaitReason> examine) {
        ShapeObstacles found = obstacles.computeIfAbsent(shape, key -> new ShapeObstacles(workers, changes, examine));
        found.update();
        return found;
    }

    /**
     * Returns the workers whose serving tasks leave headroom for a best-effort task of a shape, which does not change
     * in a round.
     *
     * @param shape the shape
     * @param headroom returns the headroom on a worker, negative infinity if there is none
     */
    List<WorkerCapacity> withHeadroom(TaskShape shape, ToDoubleFunction<WorkerCapacity> headroom) {
        return withHeadroom.computeIfAbsent(
                shape,
                key -> workers.stream()
                        .filter(worker -> headroom.applyAsDouble(worker) > Double.NEGATIVE_INFINITY)
                        .toList());
    }

    /**
     * Returns the worker that lacked least for a task of a shape when it was first asked for in the round.
     *
     * @param shape the shape
     * @param suitable returns whether a worker is suitable for the shape if it has the capacity
     * @param shortage returns how much a worker lacks
     */
    Optional<WorkerCapacity> closest(
            TaskShape shape, Predicate<WorkerCapacity> suitable, ToDoubleFunction<WorkerCapacity> shortage) {
        return closest.computeIfAbsent(
                shape, key -> workers.stream().filter(suitable).min(Comparator.comparingDouble(shortage)));
    }

    /** Returns whether so much of the capacity is free that no job may be left without a running task. */
    boolean mostlyFree() {
        if (mostlyFreeChanges != changes.size()) {
            mostlyFreeChanges = changes.size();
            long free = 0;
            long capacity = 0;
            for (WorkerCapacity worker : workers) {
                free += Math.max(0, worker.freeMillicores());
                capacity += worker.entry().report().capacity().millicores();
            }
            mostlyFree = free >= MOSTLY_FREE_SHARE * capacity;
        }
        return mostlyFree;
    }
}
