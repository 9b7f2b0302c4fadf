package dev.waxwinghead.model.time;

import java.time.Duration;

/**
 * Holds the instant on a monotonic clock by which an operation must be completed.
 *
 * @param nanos the instant, in nanoseconds of the {@link Ticker} with which the deadline was created
 * @since 0.1
 */
public record Deadline(long nanos) {
    /**
     * Creates a deadline that passes after the given time.
     *
     * @param remaining the time until the deadline
     * @param ticker the clock of the deadline
     * @return the deadline, never null
     */
    public static Deadline after(Duration remaining, Ticker ticker) {
        return new Deadline(ticker.nanos() + remaining.toNanos());
    }

    /**
     * Returns the remaining time.
     *
     * @param ticker the clock with which the deadline was created
     * @return the remaining time, zero if the deadline has passed; never null
     */
    public Duration remaining(Ticker ticker) {
        return Duration.ofNanos(Math.max(0, nanos - ticker.nanos()));
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param ticker the clock with which the deadline was created
     * @return true at and after the instant of the deadline
     */
    public boolean passed(Ticker ticker) {
        return ticker.nanos() - nanos >= 0;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline, of the same clock
     * @return the earlier deadline, never null
     */
    public Deadline earlier(Deadline other) {
        return nanos - other.nanos <= 0 ? this : other;
    }
}
