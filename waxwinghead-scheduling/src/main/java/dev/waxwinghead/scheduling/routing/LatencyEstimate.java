package dev.waxwinghead.scheduling.routing;

/**
 * Estimates recent latency: rises at once with a slow answer and falls back exponentially with time.
 *
 * <p>This is the peak-sensitive exponentially weighted moving average of Finagle's load balancer.
 *
 * @since 0.1
 */
public final class LatencyEstimate {
    /** The estimate before the first answer, in nanoseconds. */
    static final double INITIAL_NANOS = 1_000_000;

    private static final double DECAY_NANOS = 5_000_000_000.0;

    private double nanos = INITIAL_NANOS;
    private long recordedAt;
    private boolean recorded;

    private LatencyEstimate() {}

    /**
     * Returns an estimate without answers.
     *
     * @return the estimate, never null
     */
    public static LatencyEstimate create() {
        return new LatencyEstimate();
    }

    /**
     * Takes in one answer.
     *
     * @param latencyNanos how long it took
     * @param now the time, in nanoseconds
     */
    public void record(long latencyNanos, long now) {
        if (!recorded || latencyNanos > nanos) {
            nanos = recorded ? (nanos + latencyNanos) / 2 : latencyNanos;
        } else {
            double kept = Math.max(0.5, Math.exp(-(now - recordedAt) / DECAY_NANOS));
            nanos = nanos * kept * 0.9 + latencyNanos * (1 - kept * 0.9);
        }
        recorded = true;
        recordedAt = now;
    }

    /**
     * Returns the estimate.
     *
     * <p>It halves every few seconds without answers, so that an upstream that was slow is tried again.
     *
     * @param now the time, in nanoseconds
     * @return the estimate, in nanoseconds
     */
    public double nanos(long now) {
        if (!recorded) {
            return nanos;
        }
        return nanos * Math.exp(-Math.max(0, now - recordedAt) / DECAY_NANOS);
    }
}
