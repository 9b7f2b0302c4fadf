package dev.waxwinghead.scheduling.limits;

/**
 * Bounds a rate: tokens flow in steadily up to one second's worth, and each request takes one.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final double most;
    private double tokens;
    private long filledAt;

    private TokenBucket(double perSecond, long now) {
        this.perSecond = perSecond;
        this.most = Math.max(1, perSecond);
        this.tokens = most;
        this.filledAt = now;
    }

    /**
     * Returns a full bucket.
     *
     * @param perSecond the rate, above 0
     * @param now the time, in nanoseconds
     * @return the bucket, never null
     */
    public static TokenBucket create(double perSecond, long now) {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond + "; give more than 0");
        }
        return new TokenBucket(perSecond, now);
    }

    /**
     * Takes a token.
     *
     * @param now the time, in nanoseconds
     * @return false if there is none
     */
    public boolean tryTake(long now) {
        tokens = Math.min(most, tokens + Math.max(0, now - filledAt) / NANOS_PER_SECOND * perSecond);
        filledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns the rate.
     *
     * @return tokens a second
     */
    public double perSecond() {
        return perSecond;
    }
}
