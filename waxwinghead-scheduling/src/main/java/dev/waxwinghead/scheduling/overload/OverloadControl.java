package dev.waxwinghead.scheduling.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which jobs get capacity while their work exceeds it.
 *
 * <p>The decisions are pure functions of a view of the load and the time.
 *
 * @since 0.4
 */
public final class OverloadControl {
    private OverloadControl() {}

    /**
     * Returns the order in which jobs are assigned capacity. With sufficient capacity it is by priority, lateness and
     * due time, and jobs that are equal in these keep their order.
     *
     * <p>If the work of the jobs of a priority that is due by some time exceeds the capacity until then, jobs are
     * selected: those that have waited for long get a bounded share, then as much work as can end in time is selected.
     * Jobs that were not selected follow, those whose result is no longer useful after the jobs of all priorities.
     *
     * @param view the jobs and the forecast of the capacity
     * @param epochMillis the current wall-clock time, in milliseconds
     * @return the jobs of the view in order, never null
     */
    public static List<JobDemand> decide(LoadView view, long epochMillis) {
        List<JobDemand> jobs = new ArrayList<>(view.jobs());
        jobs.sort(Comparator.comparingInt(JobDemand::priority)
                .thenComparing(job -> job.lateness(epochMillis))
                .thenComparingLong(JobDemand::dueEpochMillis));
        List<JobDemand> order = new ArrayList<>(jobs.size());
        List<JobDemand> shed = new ArrayList<>();
        double ahead = 0;
        int start = 0;
        while (start < jobs.size()) {
            int end = endOfPriority(jobs, start);
            List<JobDemand> level = jobs.subList(start, end);
            Selection selection = new Selection(view.room(), ahead, epochMillis);
            if (selection.sufficientFor(level)) {
                order.addAll(level);
            } else {
                order.addAll(selection.order(level, shed));
            }
            for (JobDemand job : level) {
                ahead += job.lateness(epochMillis) == JobDemand.Lateness.EXPIRED ? 0 : job.remainingCoreMillis();
            }
            start = end;
        }
        order.addAll(shed);
        return order;
    }

    private static int endOfPriority(List<JobDemand> jobs, int start) {
        int end = start;
        while (end < jobs.size() && jobs.get(end).priority() == jobs.get(start).priority()) {
            end++;
        }
        return end;
    }
}
