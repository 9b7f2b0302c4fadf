package dev.waxwinghead.scheduling.retry;

/**
 * Bounds resends to a share of the requests that succeed.
 *
 * <p>Each first attempt that succeeds earns a fraction of a token and each resend spends one. With the ratio 0.1 the
 * upstreams see at most 1.1 attempts per request over the long run, plus the reserve. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final long UNITS_PER_TOKEN = 1_000;

    private final long unitsPerSuccess;
    private final long mostUnits;
    private long units;

    private RetryBudget(long unitsPerSuccess, long mostUnits) {
        this.unitsPerSuccess = unitsPerSuccess;
        this.mostUnits = mostUnits;
        this.units = mostUnits;
    }

    /**
     * Returns a full budget.
     *
     * @param ratio the resends earned by one success, 0 to 1
     * @param reserve the most resends that can be saved up, 0 or more
     * @return the budget, never null
     */
    public static RetryBudget create(double ratio, int reserve) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio is " + ratio + "; give 0 to 1");
        }
        if (reserve < 0) {
            throw new IllegalArgumentException("reserve is " + reserve + "; give 0 or more");
        }
        return new RetryBudget(Math.round(ratio * UNITS_PER_TOKEN), reserve * UNITS_PER_TOKEN);
    }

    /** Records a request that succeeded. */
    public synchronized void succeeded() {
        units = Math.min(mostUnits, units + unitsPerSuccess);
    }

    /**
     * Spends one resend.
     *
     * @return false if the budget is used up: the request must not be resent
     */
    public synchronized boolean trySpend() {
        if (units < UNITS_PER_TOKEN) {
            return false;
        }
        units -= UNITS_PER_TOKEN;
        return true;
    }
}
