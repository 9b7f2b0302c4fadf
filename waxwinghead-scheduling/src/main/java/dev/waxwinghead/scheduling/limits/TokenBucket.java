package dev.waxwinghead.scheduling.limits;

/**
 * Limits a rate: tokens are added at a constant rate up to one second's worth, but at least one, and each request takes
 * a token.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long refilledNanos;

    private TokenBucket(double perSecond, long now) {
        this.perSecond = perSecond;
        this.capacity = Math.max(1, perSecond);
        this.tokens = capacity;
        this.refilledNanos = now;
    }

    /**
     * Returns a full bucket.
     *
     * @param perSecond the rate, in tokens per second, above 0
     * @param now the current time, in nanoseconds
     * @return the bucket, never null
     */
    public static TokenBucket create(double perSecond, long now) {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond + ", but must be greater than 0");
        }
        return new TokenBucket(perSecond, now);
    }

    /**
     * Takes a token if there is one.
     *
     * @param now the current time, in nanoseconds
     * @return true if a token was taken
     */
    public boolean tryTake(long now) {
        tokens = Math.min(capacity, tokens + Math.max(0, now - refilledNanos) / NANOS_PER_SECOND * perSecond);
        refilledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns the rate.
     *
     * @return the rate, in tokens per second
     */
    public double perSecond() {
        return perSecond;
    }
}
