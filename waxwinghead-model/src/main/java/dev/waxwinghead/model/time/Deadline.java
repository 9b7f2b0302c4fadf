package dev.waxwinghead.model.time;

import java.time.Duration;

/**
 * Marks an instant on a monotonic clock by which something must be done.
 *
 * @param nanos the instant, in nanoseconds of the ticker it was made with
 * @since 0.1
 */
public record Deadline(long nanos) {
    /**
     * Returns the deadline that lies the given time ahead.
     *
     * @param remaining the time until the deadline
     * @param ticker the clock
     * @return the deadline, never null
     */
    public static Deadline after(Duration remaining, Ticker ticker) {
        return new Deadline(ticker.nanos() + remaining.toNanos());
    }

    /**
     * Returns the time that remains.
     *
     * @param ticker the clock that the deadline was made with
     * @return the remaining time, zero once the deadline has passed
     */
    public Duration remaining(Ticker ticker) {
        return Duration.ofNanos(Math.max(0, nanos - ticker.nanos()));
    }

    /**
     * Tells whether the deadline has passed.
     *
     * @param ticker the clock that the deadline was made with
     * @return true from the instant of the deadline on
     */
    public boolean passed(Ticker ticker) {
        return ticker.nanos() - nanos >= 0;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline, of the same clock
     * @return the earlier one, never null
     */
    public Deadline earlier(Deadline other) {
        return nanos - other.nanos <= 0 ? this : other;
    }
}
