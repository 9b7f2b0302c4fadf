package dev.waxwinghead.scheduling.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how much one task of a batch class increases the tail latency of a service on the same worker.
 *
 * <p>The latency of each service, as a multiple of its target, is modelled as a linear function of the number of
 * colocated tasks of each class. A Kalman filter tracks the coefficients with their variances, but without covariances.
 * The variance of a coefficient grows with its age, up to the variance of an unknown pair (Kalman, "A New Approach to
 * Linear Filtering and Prediction Problems", 1960). Not thread-safe.
 *
 * @since 0.1
 */
public final class InterferenceModel {
    private static final String BASELINE = "";
    private static final double PRIOR_BASELINE = 0.5;
    private static final double PRIOR_INCREASE = 0.02;
    private static final double PRIOR_VARIANCE = 0.04;
    private static final double MEASUREMENT_VARIANCE = 0.05;
    private static final double VARIANCE_GROWTH_PER_SECOND = PRIOR_VARIANCE / 1_800;
    private static final double UNCERTAINTY_WEIGHT = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Map<String, Coefficient>> coefficientsByService = new HashMap<>();

    private InterferenceModel() {}

    /**
     * Creates a model without measurements.
     *
     * @return the new model, never null
     */
    public static InterferenceModel create() {
        return new InterferenceModel();
    }

    /**
     * Updates the estimates of a service from one measurement.
     *
     * @param service the service
     * @param colocated the number of tasks of each batch class on the worker when the measurement was taken
     * @param latencyRatio the measured tail latency as a multiple of the target
     * @param takenNanos when the measurement was taken, in nanoseconds of the caller's monotonic clock
     */
    public void learn(String service, Map<String, Integer> colocated, double latencyRatio, long takenNanos) {
        Map<String, Coefficient> known = coefficientsByService.computeIfAbsent(service, key -> new HashMap<>());
        List<Coefficient> used = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        used.add(known.computeIfAbsent(BASELINE, key -> new Coefficient(PRIOR_BASELINE, 1, takenNanos)));
        counts.add(1);
        colocated.forEach((batchClass, count) -> {
            used.add(known.computeIfAbsent(
                    batchClass, key -> new Coefficient(PRIOR_INCREASE, PRIOR_VARIANCE, takenNanos)));
            counts.add(count);
        });
        double residual = latencyRatio;
        double residualVariance = MEASUREMENT_VARIANCE;
        for (int i = 0; i < used.size(); i++) {
            used.get(i).growVariance(takenNanos);
            residual -= counts.get(i) * used.get(i).mean;
            residualVariance += counts.get(i) * counts.get(i) * used.get(i).variance;
        }
        for (int i = 0; i < used.size(); i++) {
            used.get(i).correct(counts.get(i), residual, residualVariance);
        }
    }

    /**
     * Returns the expected tail latency of a service without colocated batch tasks.
     *
     * @param service the service
     * @return the latency as a multiple of the target
     */
    public double baseline(String service) {
        Map<String, Coefficient> known = coefficientsByService.get(service);
        Coefficient coefficient = known == null ? null : known.get(BASELINE);
        return coefficient == null ? PRIOR_BASELINE : coefficient.mean;
    }

    /**
     * Returns the expected increase in the tail latency of a service for one more colocated task, plus a margin that
     * grows with the uncertainty of the estimate.
     *
     * @param service the service
     * @param batchClass the class of the task
     * @return the increase as a multiple of the target, 0 or more
     */
    public double latencyIncrease(String service, String batchClass) {
        Map<String, Coefficient> known = coefficientsByService.get(service);
        Coefficient coefficient = known == null ? null : known.get(batchClass);
        if (coefficient == null) {
            return PRIOR_INCREASE + UNCERTAINTY_WEIGHT * Math.sqrt(PRIOR_VARIANCE);
        }
        return Math.max(0, coefficient.mean) + UNCERTAINTY_WEIGHT * Math.sqrt(coefficient.variance);
    }

    /**
     * Returns the number of coefficients in the model.
     *
     * @return the number of known pairs of service and batch class, plus one baseline per known service
     */
    public int size() {
        return coefficientsByService.values().stream().mapToInt(Map::size).sum();
    }

    private static final class Coefficient {
        private double mean;
        private double variance;
        private long updatedNanos;

        Coefficient(double mean, double variance, long updatedNanos) {
            this.mean = mean;
            this.variance = variance;
            this.updatedNanos = updatedNanos;
        }

        void growVariance(long now) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            variance = Math.min(Math.max(variance, PRIOR_VARIANCE), variance + VARIANCE_GROWTH_PER_SECOND * seconds);
            updatedNanos = Math.max(updatedNanos, now);
        }

        void correct(int count, double residual, double residualVariance) {
            double gain = variance * count / residualVariance;
            mean += gain * residual;
            variance *= 1 - gain * count;
        }
    }
}
