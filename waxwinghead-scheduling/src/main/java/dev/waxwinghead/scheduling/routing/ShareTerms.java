package dev.waxwinghead.scheduling.routing;

/**
 * Holds the times by which shares are lent.
 *
 * <p>A holder starts nothing once its lease, counted from when it sent the request, is over, and has ended everything
 * by the end of the hold time after that. The owner counts a share for the lease, the hold time and a margin from when
 * it answered, so the holder always stops first.
 *
 * @param leaseNanos how long a share may be used, in nanoseconds
 * @param holdNanos how long requests that run at the end of the lease may go on, in nanoseconds
 * @param marginNanos what the owner adds for clocks that drift, in nanoseconds
 * @since 0.1
 */
public record ShareTerms(long leaseNanos, long holdNanos, long marginNanos) {
    /** Two seconds of lease, ten of hold, half a second of margin. */
    public static final ShareTerms DEFAULT = new ShareTerms(2_000_000_000L, 10_000_000_000L, 500_000_000L);

    /**
     * Returns how long the owner counts a share after its answer.
     *
     * @return the time, in nanoseconds
     */
    public long countedNanos() {
        return leaseNanos + holdNanos + marginNanos;
    }
}
