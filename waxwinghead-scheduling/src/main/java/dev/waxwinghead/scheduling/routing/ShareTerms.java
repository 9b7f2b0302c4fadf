package dev.waxwinghead.scheduling.routing;

/**
 * Holds the durations that apply to leases on shares.
 *
 * <p>A lease runs from the sending of the holder's request. The holder starts no requests on its slots after the lease
 * has expired, and ends all running ones within the hold time after that. The owner counts a share as committed for the
 * lease, the hold time and a margin from its answer, so the holder always stops before the owner grants the slots
 * again.
 *
 * @param leaseNanos how long requests may be started on a share, in nanoseconds
 * @param holdNanos how long running requests may continue after the lease has expired, in nanoseconds
 * @param marginNanos how much longer the owner counts a share to allow for clock drift, in nanoseconds
 * @since 0.1
 */
public record ShareTerms(long leaseNanos, long holdNanos, long marginNanos) {
    /** A lease of 2 s, a hold time of 10 s and a margin of 500 ms. */
    public static final ShareTerms DEFAULT = new ShareTerms(2_000_000_000L, 10_000_000_000L, 500_000_000L);

    /**
     * Returns how long the owner counts a share as committed after its answer.
     *
     * @return the duration, in nanoseconds
     */
    public long committedNanos() {
        return leaseNanos + holdNanos + marginNanos;
    }
}
