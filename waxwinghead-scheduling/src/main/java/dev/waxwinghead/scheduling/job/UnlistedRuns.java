package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Finds the live runs of one worker that its reports list neither as running nor as ended. */
final class UnlistedRuns {
    /** Covers the answer with the start, the next report and one lost report. */
    private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<RunKey, Long> sinceNanos = new HashMap<>();

    /**
     * Compares a report with the live runs.
     *
     * @param live the runs that may be running on the worker
     * @param listed the runs that the worker's report lists
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the runs that are overdue since this report; each is returned once
     */
    List<RunKey> update(Set<RunKey> live, Set<RunKey> listed, long now) {
        sinceNanos.keySet().removeIf(run -> !live.contains(run) || listed.contains(run));
        List<RunKey> overdue = new ArrayList<>();
        for (RunKey run : live) {
            if (listed.contains(run)) {
                continue;
            }
            Long since = sinceNanos.putIfAbsent(run, now);
            if (since != null && since != Long.MAX_VALUE && now - since >= OVERDUE_NANOS) {
                sinceNanos.put(run, Long.MAX_VALUE);
                overdue.add(run);
            }
        }
        return overdue;
    }
}
