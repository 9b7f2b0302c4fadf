package dev.waxwinghead.scheduling.placement;

/** Scores workers by their remaining resources alone; with weight 0 all scores are equal and the first worker wins. */
final class FitScore extends WorkerScore {
    private final double weight;

    FitScore(double weight) {
        this.weight = weight;
    }

    @Override
    double of(WorkerSlot slot, Workload workload) {
        return weight == 0 ? 0 : weight * CostScore.remainingShare(slot, workload);
    }

    @Override
    boolean allowsSampling() {
        return false;
    }
}
