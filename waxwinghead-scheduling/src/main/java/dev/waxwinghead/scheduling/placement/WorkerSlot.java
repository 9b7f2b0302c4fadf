package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.resource.Resources;

/** Holds one worker of the index, with what is committed there. */
final class WorkerSlot {
    private final Residents residents = new Residents();
    private WorkerDescription description;
    private Resources committed = Resources.NONE;
    private boolean open = true;
    private boolean restricted;

    WorkerSlot(WorkerDescription description) {
        this.description = description;
    }

    WorkerDescription description() {
        return description;
    }

    void describe(WorkerDescription next) {
        description = next;
    }

    Residents residents() {
        return residents;
    }

    Resources committed() {
        return committed;
    }

    boolean open() {
        return open;
    }

    void open(boolean next) {
        open = next;
    }

    boolean restricted() {
        return restricted;
    }

    void restricted(boolean next) {
        restricted = next;
    }

    void commit(Workload workload, Resources resources) {
        committed = committed.plus(resources);
        residents.add(workload);
    }

    void release(Workload workload, Resources resources) {
        committed = committed.minus(resources);
        residents.remove(workload.owner());
    }
}
