package dev.waxwinghead.benchmarks.tasks;

import java.util.Locale;

/**
 * Holds the measurements of one run.
 *
 * @param fleet the fleet
 * @param scenario the conditions of the run
 * @param policy the policy that chose the workers
 * @param p99Ratio the 99th percentile of the services' latency, as a multiple of the latency target
 * @param workPerHour the batch work done, in core hours per hour
 * @param evictionsPerThousand the evictions of batch tasks per 1,000 started
 * @param urgentStartP99Seconds the 99th percentile of the time from submission to start of urgent tasks, in seconds
 * @param started the number of batch tasks started
 */
record PolicyResult(
        String fleet,
        Scenario scenario,
        Policy policy,
        double p99Ratio,
        double workPerHour,
        double evictionsPerThousand,
        double urgentStartP99Seconds,
        int started) {
    /** Returns by how much the latency ratio exceeds the target, 0 if the target is met. */
    double targetExcess() {
        return Math.max(0, p99Ratio - 1);
    }

    /** Returns the result as a row of the printed table. */
    String toTableRow() {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.3f | %.1f | %.1f | %.1f | %d |",
                fleet,
                scenario,
                policy,
                p99Ratio,
                workPerHour,
                evictionsPerThousand,
                urgentStartP99Seconds,
                started);
    }
}
