package dev.waxwinghead.scheduling.routing;

/**
 * Estimates recent latency: the estimate rises at once with a slow answer and decays exponentially with time.
 *
 * <p>The algorithm is the peak-sensitive exponentially weighted moving average of Finagle's load balancer.
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
     * Returns an estimate without recorded answers.
     *
     * @return the estimate, never null
     */
    public static LatencyEstimate create() {
        return new LatencyEstimate();
    }

    /**
     * Records the latency of an answer.
     *
     * @param latencyNanos the latency, in nanoseconds
     * @param now the current time, in nanoseconds
     */
    public void record(long latencyNanos, long now) {
        if (!recorded || latencyNanos > nanos) {
            nanos = recorded ? (nanos + latencyNanos) / 2 : latencyNanos;
        } else {
            double retained = Math.max(0.5, Math.exp(-(now - recordedAt) / DECAY_NANOS));
            nanos = nanos * retained * 0.9 + latencyNanos * (1 - retained * 0.9);
        }
        recorded = true;
        recordedAt = now;
    }

    /**
     * Returns the estimated latency.
     *
     * <p>Without answers the estimate halves every few seconds, so that requests are sent to a slow upstream again.
     *
     * @param now the current time, in nanoseconds
     * @return the estimated latency, in nanoseconds
     */
    public double nanos(long now) {
        if (!recorded) {
            return nanos;
        }
        return nanos * Math.exp(-Math.max(0, now - recordedAt) / DECAY_NANOS);
    }
}
