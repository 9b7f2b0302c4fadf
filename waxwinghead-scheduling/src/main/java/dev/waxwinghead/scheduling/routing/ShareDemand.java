package dev.waxwinghead.scheduling.routing;

/**
 * Tracks an entry host's recent demand for slots of an upstream, and divides the missing slots among their owners.
 *
 * <p>Not thread-safe. Times are nanoseconds of the host's monotonic clock.
 *
 * @since 0.1
 */
public final class ShareDemand {
    private static final long WINDOW_NANOS = 250_000_000L;

    private int demand;
    private long demandAt;

    private ShareDemand() {}

    /**
     * Returns a demand for no slots.
     *
     * @return the demand, never null
     */
    public static ShareDemand create() {
        return new ShareDemand();
    }

    /**
     * Records a demand for slots. The demand is the highest number recorded within the last 250 ms.
     *
     * @param slots the number of slots
     * @param now the current time
     */
    public void recordDemand(int slots, long now) {
        if (slots >= demand || now - demandAt > WINDOW_NANOS) {
            demand = slots;
            demandAt = now;
        }
    }

    /**
     * Returns the demand over all owners.
     *
     * @param inUse the number of slots in use, which becomes the demand if none was recorded within the last 250 ms
     * @param now the current time
     * @return the number of slots
     */
    public int totalDemand(int inUse, long now) {
        if (now - demandAt > WINDOW_NANOS) {
            recordDemand(inUse, now);
        }
        return demand;
    }

    /**
     * Returns the demand to send to another owner. If slots are missing, the demand is the number of slots that the
     * owner grants now plus an equal part of the missing slots. If there are more slots than needed, the whole excess
     * is deducted, so that it is returned to the owner that is asked first.
     *
     * @param total the demand over all owners
     * @param limit the number of slots that all owners grant now
     * @param limitFrom the number of slots that this owner grants now
     * @param otherOwners the number of owners other than this host, 1 or more
     * @return the number of slots, 0 or more
     */
    public static int demandFrom(int total, int limit, int limitFrom, int otherOwners) {
        int missing = total - limit;
        int part = missing > 0 ? (missing + otherOwners - 1) / otherOwners : missing;
        return Math.max(0, limitFrom + part);
    }
}
