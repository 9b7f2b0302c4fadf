package dev.waxwinghead.scheduling.retry;

/**
 * Limits resends to a fraction of the requests that succeed.
 *
 * <p>Each first attempt that succeeds adds a fraction of a token and each resend takes one token. With the ratio 0.1
 * the upstreams receive at most 1.1 attempts per request in the long run, plus the reserve. Thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final long UNITS_PER_TOKEN = 1_000;

    private final long unitsPerSuccess;
    private final long maxUnits;
    private long units;

    private RetryBudget(long unitsPerSuccess, long maxUnits) {
        this.unitsPerSuccess = unitsPerSuccess;
        this.maxUnits = maxUnits;
        this.units = maxUnits;
    }

    /**
     * Returns a full budget.
     *
     * @param ratio the number of resends that each success allows, 0 to 1
     * @param reserve the maximum number of unused resends that accumulate, 0 or more
     * @return the budget, never null
     */
    public static RetryBudget create(double ratio, int reserve) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio is " + ratio + ", but must be 0 to 1");
        }
        if (reserve < 0) {
            throw new IllegalArgumentException("reserve is " + reserve + ", but must be 0 or more");
        }
        return new RetryBudget(Math.round(ratio * UNITS_PER_TOKEN), reserve * UNITS_PER_TOKEN);
    }

    /** Records that the first attempt of a request succeeded. */
    public synchronized void succeeded() {
        units = Math.min(maxUnits, units + unitsPerSuccess);
    }

    /**
     * Takes one resend from the budget if it allows one.
     *
     * @return false if the budget is exhausted and the request must not be resent
     */
    public synchronized boolean trySpend() {
        if (units < UNITS_PER_TOKEN) {
            return false;
        }
        units -= UNITS_PER_TOKEN;
        return true;
    }
}
