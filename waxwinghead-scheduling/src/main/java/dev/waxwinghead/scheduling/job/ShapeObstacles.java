package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Holds, for one scheduling round, what stands against placing tasks of one shape on each worker of a service, whatever
 * the job.
 *
 * <p>Answers the load of many waiting jobs: the workers are examined once for a shape, and after that only the workers
 * whose capacity has changed in the round.
 */
final class ShapeObstacles {
    private final List<WorkerCapacity> workers;
    private final List<WorkerCapacity> changes;
    private final Function<WorkerCapacity, WaitReason> examine;
    /** The obstacle on each worker by its position, null where there is none. */
    private final WaitReason[] obstacles;

    private int unobstructed;
    private WaitReason closest;
    private int appliedChanges;

    /**
     * Examines all workers.
     *
     * @param workers the workers, by position
     * @param changes the workers whose capacity has changed in the round; grows with each change
     * @param examine returns the obstacle on a worker, null if there is none
     */
    ShapeObstacles(
            List<WorkerCapacity> workers, List<WorkerCapacity> changes, Function<WorkerCapacity, WaitReason> examine) {
        this.workers = workers;
        this.changes = changes;
        this.examine = examine;
        this.obstacles = new WaitReason[workers.size()];
        this.appliedChanges = changes.size();
        for (WorkerCapacity worker : workers) {
            record(worker, examine.apply(worker));
        }
    }

    /** Examines the workers again whose capacity has changed since the last call. */
    void update() {
        while (appliedChanges < changes.size()) {
            WorkerCapacity worker = changes.get(appliedChanges++);
            unobstructed -= obstacles[worker.position()] == null ? 1 : 0;
            record(worker, examine.apply(worker));
            closest = null;
        }
    }

    /** Returns the workers without an obstacle, by position. */
    List<WorkerCapacity> unobstructed() {
        if (unobstructed == 0) {
            return List.of();
        }
        List<WorkerCapacity> found = new ArrayList<>(unobstructed);
        for (WorkerCapacity worker : workers) {
            if (obstacles[worker.position()] == null) {
                found.add(worker);
            }
        }
        return found;
    }

    /**
     * Returns the obstacle of the worker that comes closest to being suitable for a job.
     *
     * @param refusing the workers that take no tasks of the job because of their health
     * @param suspect whether only workers with a suspect of another job are left among those without an obstacle
     * @return the reason, {@link WaitReason#NO_WORKER} if no worker has an obstacle
     */
    WaitReason closest(Set<WorkerCapacity> refusing, boolean suspect) {
        if (suspect || !refusing.isEmpty()) {
            return findClosest(refusing, suspect);
        }
        if (closest == null) {
            closest = findClosest(refusing, false);
        }
        return closest;
    }

    private WaitReason findClosest(Set<WorkerCapacity> refusing, boolean suspect) {
        WaitReason found = WaitReason.NO_WORKER;
        for (WorkerCapacity worker : workers) {
            WaitReason obstacle = obstacles[worker.position()];
            if (obstacle != WaitReason.NO_SUITABLE_WORKER && refusing.contains(worker)) {
                obstacle = WaitReason.WORKERS_RESTRICTED;
            } else if (obstacle == null) {
                obstacle = suspect ? WaitReason.WORKERS_RUN_SUSPECTS : WaitReason.NO_WORKER;
            }
            found = obstacle.compareTo(found) > 0 ? obstacle : found;
        }
        return found;
    }

    private void record(WorkerCapacity worker, WaitReason obstacle) {
        obstacles[worker.position()] = obstacle;
        unobstructed += obstacle == null ? 1 : 0;
    }
}
