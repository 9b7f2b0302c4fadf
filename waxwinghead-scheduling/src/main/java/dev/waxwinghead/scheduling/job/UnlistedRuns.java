package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Finds the live runs of one worker that its reports list neither as running nor as ended. */
final class UnlistedRuns {
    /** Covers the answer with the start, the next report and one lost report. */
    static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Stands for the time of a run that was returned as overdue. */
    private static final long RETURNED = Long.MAX_VALUE;

    private final Map<RunKey, Long> sinceNanos = new HashMap<>();

    /** Returns whether a run was found to be overdue, and not listed since. */
    boolean overdue(RunKey run) {
        return sinceNanos.getOrDefault(run, 0L) == RETURNED;
    }

    /**
     * Compares a report with the live runs.
     *
     * @param live the runs that may be running on the worker
     * @param listed returns whether the worker's report lists a run
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the runs that are overdue since this report; each is returned once
     */
    List<RunKey> update(Set<RunKey> live, Predicate<RunKey> listed, long now) {
        sinceNanos.keySet().removeIf(run -> !live.contains(run) || listed.test(run));
        List<RunKey> overdue = new ArrayList<>();
        for (RunKey run : live) {
            if (listed.test(run)) {
                continue;
            }
            Long since = sinceNanos.putIfAbsent(run, now);
            if (since != null && since != RETURNED && now - since >= OVERDUE_NANOS) {
                sinceNanos.put(run, RETURNED);
                overdue.add(run);
            }
        }
        return overdue;
    }
}
