package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.resource.Resources;

/** One worker of the index, with its committed resources and tasks. */
final class WorkerSlot {
    private final ColocatedTasks tasks = new ColocatedTasks();
    private WorkerDescription description;
    private Resources committed = Resources.NONE;
    private boolean schedulable = true;
    private boolean restricted;

    WorkerSlot(WorkerDescription description) {
        this.description = description;
    }

    WorkerDescription description() {
        return description;
    }

    void update(WorkerDescription next) {
        description = next;
    }

    ColocatedTasks tasks() {
        return tasks;
    }

    Resources committed() {
        return committed;
    }

    boolean schedulable() {
        return schedulable;
    }

    void schedulable(boolean next) {
        schedulable = next;
    }

    boolean restricted() {
        return restricted;
    }

    void restricted(boolean next) {
        restricted = next;
    }

    void commit(Workload workload, Resources resources) {
        committed = committed.plus(resources);
        tasks.add(workload);
    }

    void release(Workload workload, Resources resources) {
        committed = committed.minus(resources);
        tasks.remove(workload.owner());
    }
}
