package dev.waxwinghead.scheduling.placement;

/**
 * Rates a worker for a task; the lowest score wins.
 *
 * @since 0.1
 */
public abstract class WorkerScore {
    WorkerScore() {}

    /**
     * Returns the score that weighs expected harm first and fills workers up where harm does not decide.
     *
     * @param model the expected harm
     * @return the score, never null
     */
    public static WorkerScore byHarm(HarmModel model) {
        return new HarmScore(model);
    }

    /**
     * Returns the score that takes the first worker that fits.
     *
     * @return the score, never null
     */
    public static WorkerScore firstFit() {
        return new FitScore(0);
    }

    /**
     * Returns the score that takes the worker with the least left over.
     *
     * @return the score, never null
     */
    public static WorkerScore bestFit() {
        return new FitScore(1);
    }

    /** Rates a worker that fits. */
    abstract double of(WorkerSlot slot, Workload workload);

    /** Tells whether the task may be placed there at all, unless it has waited for long. */
    boolean accepts(WorkerSlot slot, Workload workload) {
        return true;
    }

    /** Tells whether a sample of the workers that fit is enough. */
    abstract boolean sampled();
}
