package dev.waxwinghead.model.time;

/**
 * Reads a monotonic clock.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Ticker {
    /**
     * Returns the time since an arbitrary origin.
     *
     * @return the time in nanoseconds; never less than an earlier call returned
     */
    long nanos();

    /**
     * Returns a ticker that reads {@link System#nanoTime()}.
     *
     * @return the ticker, never null
     */
    static Ticker system() {
        return System::nanoTime;
    }
}
