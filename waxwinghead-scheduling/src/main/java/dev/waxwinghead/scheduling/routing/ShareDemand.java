package dev.waxwinghead.scheduling.routing;

/**
 * Remembers how many slots of an upstream an entry host lately wanted, and divides what is missing between owners.
 *
 * <p>Not safe for use by several threads. Times are nanoseconds of the host's monotonic clock.
 *
 * @since 0.1
 */
public final class ShareDemand {
    private static final long KEPT_NANOS = 250_000_000L;

    private int demand;
    private long demandAt;

    private ShareDemand() {}

    /**
     * Returns a demand of nothing.
     *
     * @return the demand, never null
     */
    public static ShareDemand create() {
        return new ShareDemand();
    }

    /**
     * Records that a number of slots is wanted; the highest of the last quarter of a second counts.
     *
     * @param slots the slots
     * @param now the time
     */
    public void want(int slots, long now) {
        if (slots >= demand || now - demandAt > KEPT_NANOS) {
            demand = slots;
            demandAt = now;
        }
    }

    /**
     * Returns the slots wanted over all owners.
     *
     * @param inUse the slots in use, which is what counts once nothing was wanted for that long
     * @param now the time
     * @return the number
     */
    public int total(int inUse, long now) {
        if (now - demandAt > KEPT_NANOS) {
            want(inUse, now);
        }
        return demand;
    }

    /**
     * Returns the slots wanted from one other owner: its part of what is missing, or less than it lends if there is too
     * much, so that what is too much goes back to whom is asked first.
     *
     * @param total the slots wanted over all owners
     * @param limit the slots that all owners lend
     * @param limitFrom the slots that this owner lends
     * @param otherOwners how many other owners there are, 1 or more
     * @return the number, 0 or more
     */
    public static int from(int total, int limit, int limitFrom, int otherOwners) {
        int missing = total - limit;
        int part = missing > 0 ? (missing + otherOwners - 1) / otherOwners : missing;
        return Math.max(0, limitFrom + part);
    }
}
