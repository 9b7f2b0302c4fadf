package dev.waxwinghead.scheduling.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates, for each pair of images, how much a colocated task increases the latency of a serving task.
 *
 * <p>The logarithm of the latency is modelled as the baseline of the serving task's job, which follows its load within
 * seconds, plus an increase for each unit of processor time that a colocated image uses. Baselines and increases are
 * tracked with variances that grow with age. Not thread-safe.
 *
 * @since 0.2
 */
public final class PairwiseInterference {
    private static final double PRIOR_BASELINE = -0.8;
    private static final double PRIOR_BASELINE_VARIANCE = 0.3;

    /** Fluctuating load changes the logarithm of the latency by 1 within several seconds. */
    private static final double BASELINE_VARIANCE_GROWTH_PER_SECOND = 0.06;

    private static final double PRIOR_INCREASE = 0.03;
    private static final double PRIOR_INCREASE_VARIANCE = 0.01;

    /** The interference between two images changes far more slowly than the load of a job. */
    private static final double INCREASE_VARIANCE_GROWTH_PER_SECOND = 0.00002;

    /**
     * Time constant, in seconds, with which an increase without new measurements decays exponentially towards
     * {@link #PRIOR_INCREASE}.
     */
    private static final double INCREASE_DECAY_SECONDS = 120;

    /** Below this variance an increase counts as known; a pair reaches this bound after a few seconds of colocation. */
    private static final double MAX_CONFIDENT_VARIANCE = 0.0015;

    /** The peak assumed for a job that has not yet been observed over a whole load fluctuation. */
    private static final double PRIOR_PEAK = -0.3;

    /** Decay of a peak per second. One load fluctuation takes 10 to 20 seconds. */
    private static final double PEAK_DECAY_PER_SECOND = 0.03;

    private static final double MEASUREMENT_VARIANCE = 0.06;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Estimate> baselines = new HashMap<>();
    private final Map<String, Map<String, Estimate>> increases = new HashMap<>();

    private PairwiseInterference() {}

    /**
     * Creates a model without measurements.
     *
     * @return the new model, never null
     */
    public static PairwiseInterference create() {
        return new PairwiseInterference();
    }

    /**
     * Updates the estimates from one measurement of a serving task.
     *
     * @param job the serving task's job
     * @param image the serving task's image
     * @param colocated the units of processor time that each colocated image used
     * @param logRatio the natural logarithm of the task's latency as a multiple of its target
     * @param now when the measurement was taken, in nanoseconds
     */
    public void learn(String job, String image, Map<String, Double> colocated, double logRatio, long now) {
        Estimate baseline = baseline(job, now);
        baseline.growVariance(now, BASELINE_VARIANCE_GROWTH_PER_SECOND, PRIOR_BASELINE_VARIANCE);
        Map<String, Estimate> known = increases.computeIfAbsent(image, key -> new HashMap<>());
        double residual = logRatio - baseline.mean;
        double residualVariance = MEASUREMENT_VARIANCE + baseline.variance;
        for (Map.Entry<String, Double> other : colocated.entrySet()) {
            Estimate increase = known.computeIfAbsent(
                    other.getKey(), key -> new Estimate(PRIOR_INCREASE, PRIOR_INCREASE_VARIANCE, now));
            increase.mean = increase.meanAt(now, PRIOR_INCREASE);
            increase.growVariance(now, INCREASE_VARIANCE_GROWTH_PER_SECOND, PRIOR_INCREASE_VARIANCE);
            residual -= increase.mean * other.getValue();
            residualVariance += increase.variance * other.getValue() * other.getValue();
        }
        baseline.correct(1, residual, residualVariance);
        baseline.updatePeak(now);
        for (Map.Entry<String, Double> other : colocated.entrySet()) {
            known.get(other.getKey()).correct(other.getValue(), residual, residualVariance);
        }
    }

    /**
     * Returns the estimated latency of a serving job without colocated tasks.
     *
     * @param job the job
     * @return the natural logarithm of the latency as a multiple of its target
     */
    public double baseline(String job) {
        Estimate baseline = baselines.get(job);
        return baseline == null ? PRIOR_BASELINE : baseline.mean;
    }

    /**
     * Returns the highest baseline of a serving job within the latest fluctuation of its load.
     *
     * @param job the job
     * @param now the current time, in nanoseconds
     * @return the natural logarithm of the latency as a multiple of its target
     */
    public double peak(String job, long now) {
        Estimate baseline = baselines.get(job);
        return baseline == null ? PRIOR_PEAK : Math.max(baseline.mean, baseline.peak(now));
    }

    /**
     * Returns whether the estimate for a pair of images is reliable.
     *
     * @param image the serving image
     * @param other the colocated image
     * @param now the current time, in nanoseconds
     * @return true if the pair has been colocated long and recently enough
     */
    public boolean isReliable(String image, String other, long now) {
        Map<String, Estimate> known = increases.get(image);
        Estimate increase = known == null ? null : known.get(other);
        return increase != null
                && increase.varianceAt(now, INCREASE_VARIANCE_GROWTH_PER_SECOND) < MAX_CONFIDENT_VARIANCE;
    }

    /**
     * Returns how much one unit of processor time of a colocated image increases the latency of a serving image.
     *
     * @param image the serving image
     * @param other the colocated image
     * @param now the current time, in nanoseconds
     * @return the increase of the logarithm, 0 or more; old measurements count less
     */
    public double latencyIncrease(String image, String other, long now) {
        Map<String, Estimate> known = increases.get(image);
        Estimate increase = known == null ? null : known.get(other);
        if (increase == null) {
            return PRIOR_INCREASE;
        }
        return Math.max(0, increase.meanAt(now, PRIOR_INCREASE));
    }

    /**
     * Returns the reliable estimates, to be adopted by a model in another process.
     *
     * @param now the current time, in nanoseconds
     * @return the estimates, empty if none is reliable
     */
    public List<PairEstimate> reliableEstimates(long now) {
        List<PairEstimate> estimates = new ArrayList<>();
        increases.forEach((image, known) -> known.forEach((other, increase) -> {
            if (isReliable(image, other, now)) {
                estimates.add(new PairEstimate(
                        image,
                        other,
                        increase.meanAt(now, PRIOR_INCREASE),
                        increase.varianceAt(now, INCREASE_VARIANCE_GROWTH_PER_SECOND)));
            }
        }));
        return estimates;
    }

    /**
     * Adopts the estimates of another model where they are more reliable than the own ones.
     *
     * @param estimates the estimates
     * @param now the current time, in nanoseconds
     */
    public void adopt(List<PairEstimate> estimates, long now) {
        for (PairEstimate estimate : estimates) {
            Map<String, Estimate> known = increases.computeIfAbsent(estimate.image(), key -> new HashMap<>());
            Estimate own = known.get(estimate.other());
            if (own == null || own.varianceAt(now, INCREASE_VARIANCE_GROWTH_PER_SECOND) > estimate.variance()) {
                known.put(estimate.other(), new Estimate(estimate.increase(), estimate.variance(), now));
            }
        }
    }

    /**
     * Formats the estimates of all pairs for a log line.
     *
     * @param now the current time, in nanoseconds
     * @return the pairs as {@code other>serving=increase}, the increase in thousandths and followed by a question mark
     *     if the estimate is not reliable
     */
    public String describe(long now) {
        StringBuilder text = new StringBuilder();
        increases.forEach((image, known) -> known.forEach((other, increase) -> text.append(other)
                .append('>')
                .append(image)
                .append('=')
                .append(Math.round(1000 * increase.meanAt(now, PRIOR_INCREASE)))
                .append(
                        increase.varianceAt(now, INCREASE_VARIANCE_GROWTH_PER_SECOND) < MAX_CONFIDENT_VARIANCE
                                ? " "
                                : "? ")));
        return text.toString().strip();
    }

    /**
     * Discards the baseline of a job that has ended.
     *
     * @param job the job
     */
    public void removeJob(String job) {
        baselines.remove(job);
    }

    private Estimate baseline(String job, long now) {
        return baselines.computeIfAbsent(job, key -> new Estimate(PRIOR_BASELINE, PRIOR_BASELINE_VARIANCE, now));
    }

    private static final class Estimate {
        private double mean;
        private double variance;
        private long updatedNanos;
        private double peak = PRIOR_PEAK;
        private long peakNanos;

        Estimate(double mean, double variance, long updatedNanos) {
            this.mean = mean;
            this.variance = variance;
            this.updatedNanos = updatedNanos;
            this.peakNanos = updatedNanos;
        }

        void updatePeak(long now) {
            if (mean >= peak(now)) {
                peak = mean;
                peakNanos = now;
            }
        }

        double peak(long now) {
            return peak - PEAK_DECAY_PER_SECOND * Math.max(0, now - peakNanos) / NANOS_PER_SECOND;
        }

        /** Returns the mean after its decay towards the expected mean since the last measurement. */
        double meanAt(long now, double expected) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            return expected + (mean - expected) * Math.exp(-seconds / INCREASE_DECAY_SECONDS);
        }

        double varianceAt(long now, double perSecond) {
            return variance + perSecond * Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
        }

        void growVariance(long now, double perSecond, double maxVariance) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            variance = Math.min(maxVariance, variance + perSecond * seconds);
            updatedNanos = Math.max(updatedNanos, now);
        }

        void correct(double weight, double residual, double residualVariance) {
            double gain = variance * weight / residualVariance;
            mean += gain * residual;
            variance *= 1 - gain * weight;
        }
    }
}
