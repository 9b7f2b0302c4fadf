package dev.waxwinghead.scheduling.placement;

/** Rates by what is left over alone; with weight 0 the first worker that fits wins. */
final class FitScore extends WorkerScore {
    private final double weight;

    FitScore(double weight) {
        this.weight = weight;
    }

    @Override
    double of(WorkerSlot slot, Workload workload) {
        return weight == 0 ? 0 : weight * HarmScore.leftOver(slot, workload);
    }

    @Override
    boolean sampled() {
        return false;
    }
}
