package dev.waxwinghead.scheduling.placement;

/**
 * Estimates the cost of running tasks on the same worker.
 *
 * @since 0.1
 */
public interface ColocationCostModel {
    /** A model in which colocation costs nothing. */
    ColocationCostModel NONE = new ColocationCostModel() {};

    /**
     * Returns the expected tail latency of a service without colocated batch tasks.
     *
     * @param service the service
     * @return the latency as a multiple of the service's target
     */
    default double baselineLatency(Workload service) {
        return 0;
    }

    /**
     * Returns how much one batch task increases the tail latency of a service on the same worker.
     *
     * @param service the service
     * @param batch the batch task
     * @return the increase as a multiple of the service's target, 0 or more
     */
    default double latencyIncrease(Workload service, Workload batch) {
        return 0;
    }

    /**
     * Returns the weighted cost of a tail latency.
     *
     * @param latencyRatio the latency as a multiple of its target
     * @return the cost, which grows faster as the latency approaches its target
     */
    default double latencyCost(double latencyRatio) {
        return 0;
    }

    /**
     * Returns whether a batch task may be placed on a worker where a service would then have the given tail latency.
     *
     * @param latencyRatio the latency as a multiple of its target
     * @return false if the task is to wait for another worker
     */
    default boolean acceptsLatency(double latencyRatio) {
        return true;
    }

    /**
     * Returns the processor time that a task is expected to use, which may differ from its declared resources.
     *
     * @param workload the workload
     * @return the processor time in millicores
     */
    default double expectedMillicores(Workload workload) {
        return workload.resources().millicores();
    }

    /**
     * Returns the weighted cost of the expected load of a worker.
     *
     * @param load the processor time that its tasks are expected to use, as a fraction of its capacity
     * @return the cost, 0 or more
     */
    default double overloadCost(double load) {
        return 0;
    }
}
