package dev.waxwinghead.scheduling.placement;

/**
 * Estimates what tasks do to each other when they share a worker.
 *
 * @since 0.1
 */
public interface HarmModel {
    /** Expects no harm at all. */
    HarmModel NONE = new HarmModel() {};

    /**
     * Returns the tail latency of a service that has its worker for itself.
     *
     * @param service the service
     * @return the latency as a multiple of the service's target
     */
    default double alone(Workload service) {
        return 0;
    }

    /**
     * Returns by how much one batch task raises the tail latency of a service on the same worker.
     *
     * @param service the service
     * @param batch the batch task
     * @return the rise as a multiple of the service's target, 0 or more
     */
    default double rise(Workload service, Workload batch) {
        return 0;
    }

    /**
     * Returns the weighted harm of a tail latency.
     *
     * @param latencyRatio the latency as a multiple of its target
     * @return the harm, which grows faster the nearer the target is
     */
    default double harm(double latencyRatio) {
        return 0;
    }

    /**
     * Tells whether a batch task may be placed where a service's tail latency then becomes this.
     *
     * @param latencyRatio the latency as a multiple of its target
     * @return false if the task is to wait for another worker
     */
    default boolean acceptable(double latencyRatio) {
        return true;
    }

    /**
     * Returns what a task is expected to use, whatever is declared for it.
     *
     * @param workload the workload
     * @return the processor time in millicores
     */
    default double expectedMillicores(Workload workload) {
        return workload.resources().millicores();
    }

    /**
     * Returns the weighted harm of a worker whose tasks use more than it has.
     *
     * @param load what they use, as a share of what the worker has
     * @return the harm, 0 or more
     */
    default double overload(double load) {
        return 0;
    }
}
