package dev.waxwinghead.testkit.load;

import java.util.SortedMap;
import org.HdrHistogram.Histogram;

/**
 * Sums up a load run.
 *
 * @param requests requests that were started
 * @param seconds how long requests were started, in seconds
 * @param answeredPerSecond whole and right answers a second
 * @param outcomes the number of requests by outcome
 * @param connectRetries requests that went to another entry host because one was unreachable
 * @param latency the latency of whole and right answers
 */
record LoadSummary(
        long requests,
        double seconds,
        double answeredPerSecond,
        SortedMap<String, Long> outcomes,
        long connectRetries,
        Latency latency) {
    /**
     * Holds percentiles in microseconds.
     *
     * @param p50Micros half of the answers came within this
     * @param p90Micros 90% of the answers
     * @param p99Micros 99% of the answers
     * @param p999Micros 99.9% of the answers
     * @param maxMicros all answers
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
        return outcomes.getOrDefault(AnswerCheck.ANSWERED, 0L) == requests;
    }
}
