package dev.waxwinghead.benchmarks.tasks;

import java.util.Locale;

/**
 * Holds what one run measured.
 *
 * @param fleet the fleet
 * @param scenario what happened to it
 * @param policy how workers were chosen
 * @param p99Ratio the 99th percentile of the services' tail latency, as a multiple of the target
 * @param workPerHour batch work done, in core hours per hour
 * @param evictionsPerThousand evictions of batch tasks per 1,000 started
 * @param urgentStartP99Seconds the 99th percentile of the time to start of urgent work
 * @param started how many batch tasks were started
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
    double excess() {
        return Math.max(0, p99Ratio - 1);
    }

    String row() {
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
