package dev.waxwinghead.testkit.load;

import java.util.SortedMap;
import org.HdrHistogram.Histogram;

/**
 * Summarises a load run.
 *
 * @param requests the number of requests started
 * @param seconds the period during which requests were started, in seconds
 * @param answeredPerSecond complete and correct responses per second
 * @param outcomes the number of requests for each outcome
 * @param connectRetries the number of retries at another entry host because one was unreachable
 * @param latency the latency of complete and correct responses
 */
record LoadSummary(
        long requests,
        double seconds,
        double answeredPerSecond,
        SortedMap<String, Long> outcomes,
        long connectRetries,
        Latency latency) {
    /**
     * Represents the percentiles of latency, in microseconds.
     *
     * @param p50Micros the median
     * @param p90Micros the 90th percentile
     * @param p99Micros the 99th percentile
     * @param p999Micros the 99.9th percentile
     * @param maxMicros the maximum
     */
    record Latency(long p50Micros, long p90Micros, long p99Micros, long p999Micros, long maxMicros) {
        static Latency from(Histogram micros) {
            return new Latency(
                    micros.getValueAtPercentile(50),
                    micros.getValueAtPercentile(90),
                    micros.getValueAtPercentile(99),
                    micros.getValueAtPercentile(99.9),
                    micros.getMaxValue());
        }
    }

    boolean allAnswered() {
        return outcomes.getOrDefault(ResponseCheck.ANSWERED, 0L) == requests;
    }
}
