package dev.waxwinghead.scheduling.placement;

/**
 * Estimates what tasks do to each other when they share a worker.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HarmModel {
    /** Expects no harm at all. */
    HarmModel NONE = (one, other) -> 0;

    /**
     * Returns the harm expected when one task of each kind shares a worker. The order of the two does not matter.
     *
     * @param one a workload
     * @param other another workload
     * @return the weighted harm, 0 or more
     */
    double harm(Workload one, Workload other);
}
