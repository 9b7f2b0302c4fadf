package dev.waxwinghead.scheduling.interference;

/**
 * Holds the estimate of how much one unit of processor time of a colocated image increases the latency of a serving
 * image.
 *
 * @param image the serving image
 * @param other the colocated image
 * @param increase the increase of the natural logarithm of the latency, between -10 and 10
 * @param variance the variance of the estimate, above 0 and at most 1
 * @since 0.3
 */
public record PairEstimate(String image, String other, double increase, double variance) {
    private static final double MAX_INCREASE = 10;

    /** Checks the values, which may come from another process. */
    public PairEstimate {
        if (!(Math.abs(increase) <= MAX_INCREASE) || !(variance > 0 && variance <= 1)) {
            throw new IllegalArgumentException("the estimate of " + other + " beside " + image + " has increase "
                    + increase + " and variance " + variance
                    + ", but must have an increase between -10 and 10 and a variance above 0 and at most 1");
        }
    }
}
