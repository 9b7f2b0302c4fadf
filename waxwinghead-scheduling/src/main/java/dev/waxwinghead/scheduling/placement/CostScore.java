package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.resource.Resources;

/** Scores workers by the expected cost of the placement, plus a small weight on the remaining resources. */
final class CostScore extends WorkerScore {
    private static final double REMAINING_SHARE_WEIGHT = 0.02;

    private final ColocationCostModel model;

    CostScore(ColocationCostModel model) {
        this.model = model;
    }

    @Override
    double of(WorkerSlot slot, Workload workload) {
        double load = (slot.tasks().expectedMillicores(model) + model.expectedMillicores(workload))
                / Math.max(1, slot.description().capacity().millicores());
        return slot.tasks().addedCost(workload, model)
                + model.overloadCost(load)
                + REMAINING_SHARE_WEIGHT * remainingShare(slot, workload);
    }

    @Override
    boolean accepts(WorkerSlot slot, Workload workload) {
        return slot.tasks().accepts(workload, model);
    }

    /**
     * Returns the sum of the free fractions of processor time, memory and accelerators after the placement, from 0 to
     * 3.
     */
    static double remainingShare(WorkerSlot slot, Workload workload) {
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
    boolean allowsSampling() {
        return true;
    }
}
