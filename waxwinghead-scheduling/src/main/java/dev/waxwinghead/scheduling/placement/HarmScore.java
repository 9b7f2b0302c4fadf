package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.resource.Resources;

/** Adds the expected harm to a small share of what would be left over. */
final class HarmScore extends WorkerScore {
    private static final double LEFT_OVER_WEIGHT = 0.02;

    private final HarmModel model;

    HarmScore(HarmModel model) {
        this.model = model;
    }

    @Override
    double of(WorkerSlot slot, Workload workload) {
        double load = (slot.residents().expectedMillicores(model) + model.expectedMillicores(workload))
                / Math.max(1, slot.description().capacity().millicores());
        return slot.residents().harm(workload, model)
                + model.overload(load)
                + LEFT_OVER_WEIGHT * leftOver(slot, workload);
    }

    @Override
    boolean accepts(WorkerSlot slot, Workload workload) {
        return slot.residents().accepts(workload, model);
    }

    /** Returns the free shares of processors, memory and accelerators after the placement, 0 to 3. */
    static double leftOver(WorkerSlot slot, Workload workload) {
        Resources capacity = slot.description().capacity();
        Resources used = slot.committed().plus(workload.resources());
        return freeShare(capacity.millicores(), used.millicores())
                + freeShare(capacity.memoryBytes(), used.memoryBytes())
                + freeShare(capacity.accelerators(), used.accelerators());
    }

    private static double freeShare(long capacity, long used) {
        return capacity == 0 ? 0 : (double) (capacity - used) / capacity;
    }

    @Override
    boolean sampled() {
        return true;
    }
}
