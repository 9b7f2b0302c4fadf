package dev.waxwinghead.scheduling.placement;

/**
 * Scores a worker for a task; the worker with the lowest score is chosen.
 *
 * @since 0.1
 */
public abstract class WorkerScore {
    WorkerScore() {}

    /**
     * Returns a score by expected cost, which prefers workers with few remaining resources where costs are similar.
     *
     * @param model the model that estimates the cost
     * @return the score, never null
     */
    public static WorkerScore byCost(ColocationCostModel model) {
        return new CostScore(model);
    }

    /**
     * Returns a score that chooses the first worker that fits.
     *
     * @return the score, never null
     */
    public static WorkerScore firstFit() {
        return new FitScore(0);
    }

    /**
     * Returns a score that chooses the worker with the fewest remaining resources.
     *
     * @return the score, never null
     */
    public static WorkerScore bestFit() {
        return new FitScore(1);
    }

    /** Returns the score of a worker with enough free resources. */
    abstract double of(WorkerSlot slot, Workload workload);

    /** Returns whether the workload may be placed on the worker; not asked for tasks that ignore the latency limit. */
    boolean accepts(WorkerSlot slot, Workload workload) {
        return true;
    }

    /** Returns whether scoring a sample of the workers that fit is enough. */
    abstract boolean allowsSampling();
}
