package dev.waxwinghead.model.time;

/**
 * Reads a monotonic clock.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Ticker {
    /**
     * Returns the time since an arbitrary origin, in nanoseconds.
     *
     * @return the time; later calls never return less
     */
    long nanos();

    /**
     * Returns the ticker of this process.
     *
     * @return the ticker, never null
     */
    static Ticker system() {
        return System::nanoTime;
    }
}
