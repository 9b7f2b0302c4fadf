package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.resource.Resources;

/** Counts what one worker still has room for, within one round of placement. */
final class WorkerRoom {
    /** The part of its processor request that a serving task uses on the mean; the rest is left to best effort. */
    private static final double SERVING_USE = 0.6;

    private final WorkerEntry entry;
    private final double strain;
    private long freeMillicores;
    private long freeMemoryBytes;
    private long freeAccelerators;
    private double leftoverMillicores;
    private int serving;

    WorkerRoom(WorkerEntry entry, double strain) {
        this.entry = entry;
        this.strain = strain;
        Resources capacity = entry.report().capacity();
        this.freeMillicores = capacity.millicores();
        this.freeMemoryBytes = capacity.memoryBytes();
        this.freeAccelerators = capacity.accelerators();
        this.leftoverMillicores = capacity.millicores();
    }

    WorkerEntry entry() {
        return entry;
    }

    double strain() {
        return strain;
    }

    long freeMillicores() {
        return freeMillicores;
    }

    double leftoverMillicores() {
        return leftoverMillicores;
    }

    int serving() {
        return serving;
    }

    void take(JobStep step) {
        Resources need = step.need();
        freeMemoryBytes -= need.memoryBytes();
        freeAccelerators -= need.accelerators();
        if (step.bestEffort()) {
            leftoverMillicores -= need.millicores();
            return;
        }
        freeMillicores -= need.millicores();
        leftoverMillicores -= step.serves() ? SERVING_USE * need.millicores() : need.millicores();
        if (step.serves()) {
            serving++;
        }
    }

    boolean fits(JobStep step) {
        Resources need = step.need();
        boolean memory = need.memoryBytes() <= freeMemoryBytes && need.accelerators() <= freeAccelerators;
        return memory && (step.bestEffort() || need.millicores() <= freeMillicores);
    }
}
