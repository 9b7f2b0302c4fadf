package dev.waxwinghead.scheduling.overload;

import java.util.List;

/**
 * Orders the finite jobs that share a capacity.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface CapacityOrder {
    /**
     * Returns the order in which jobs are assigned capacity.
     *
     * @param view the jobs, by priority, lateness and due time, and the forecast of the capacity
     * @param epochMillis the current wall-clock time, in milliseconds
     * @return the jobs of the view in order, never null
     */
    List<JobDemand> order(LoadView view, long epochMillis);
}
