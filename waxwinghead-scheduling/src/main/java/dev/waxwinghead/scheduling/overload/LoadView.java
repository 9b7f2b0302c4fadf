package dev.waxwinghead.scheduling.overload;

import java.util.List;

/**
 * Holds the finite jobs that share a capacity, and the forecast of this capacity. Best-effort jobs and other jobs have
 * separate views, since best-effort tasks use only what other tasks leave unused.
 *
 * @param jobs the queued and running jobs whose work is known
 * @param room the forecast of the capacity
 * @since 0.4
 */
public record LoadView(List<JobDemand> jobs, RoomForecast room) {
    /** Copies the list. */
    public LoadView {
        jobs = List.copyOf(jobs);
    }
}
