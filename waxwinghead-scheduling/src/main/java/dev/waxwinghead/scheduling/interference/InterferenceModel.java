package dev.waxwinghead.scheduling.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates by how much one task of a batch class raises the tail latency of a service beside it.
 *
 * <p>Each service has a linear model of its latency, as a multiple of its target, over the counts of the classes beside
 * it. The coefficients are tracked by a Kalman filter that keeps variances but no covariances; a variance grows with
 * the age of the coefficient, up to that of an unknown pair (Kalman, "A New Approach to Linear Filtering and Prediction
 * Problems", 1960). Used by one thread at a time.
 *
 * @since 0.1
 */
public final class InterferenceModel {
    private static final String ALONE = "";
    private static final double PRIOR_ALONE = 0.5;
    private static final double PRIOR_RISE = 0.02;
    private static final double PRIOR_VARIANCE = 0.04;
    private static final double MEASUREMENT_VARIANCE = 0.05;
    private static final double AGEING_PER_SECOND = PRIOR_VARIANCE / 1_800;
    private static final double CAUTION = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Map<String, Coefficient>> services = new HashMap<>();

    private InterferenceModel() {}

    /**
     * Returns a model that knows no pair.
     *
     * @return the model, never null
     */
    public static InterferenceModel create() {
        return new InterferenceModel();
    }

    /**
     * Learns from one measurement.
     *
     * @param service the service
     * @param beside how many tasks of each batch class ran on the worker when it was taken
     * @param latencyRatio the measured tail latency as a multiple of the target
     * @param takenNanos when it was taken
     */
    public void learn(String service, Map<String, Integer> beside, double latencyRatio, long takenNanos) {
        Map<String, Coefficient> known = services.computeIfAbsent(service, key -> new HashMap<>());
        List<Coefficient> used = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        used.add(known.computeIfAbsent(ALONE, key -> new Coefficient(PRIOR_ALONE, 1, takenNanos)));
        counts.add(1);
        beside.forEach((batchClass, count) -> {
            used.add(known.computeIfAbsent(batchClass, key -> new Coefficient(PRIOR_RISE, PRIOR_VARIANCE, takenNanos)));
            counts.add(count);
        });
        double error = latencyRatio;
        double spread = MEASUREMENT_VARIANCE;
        for (int i = 0; i < used.size(); i++) {
            used.get(i).age(takenNanos);
            error -= counts.get(i) * used.get(i).mean;
            spread += counts.get(i) * counts.get(i) * used.get(i).variance;
        }
        for (int i = 0; i < used.size(); i++) {
            used.get(i).correct(counts.get(i), error, spread);
        }
    }

    /**
     * Returns the tail latency to expect of a service with nothing beside it.
     *
     * @param service the service
     * @return the latency as a multiple of the target
     */
    public double alone(String service) {
        Map<String, Coefficient> known = services.get(service);
        Coefficient coefficient = known == null ? null : known.get(ALONE);
        return coefficient == null ? PRIOR_ALONE : coefficient.mean;
    }

    /**
     * Returns the rise to expect of one more task beside a service, with a surcharge for what is not known.
     *
     * @param service the service
     * @param batchClass the class of the task
     * @return the rise of the tail latency as a multiple of its target, 0 or more
     */
    public double rise(String service, String batchClass) {
        Map<String, Coefficient> known = services.get(service);
        Coefficient coefficient = known == null ? null : known.get(batchClass);
        if (coefficient == null) {
            return PRIOR_RISE + CAUTION * Math.sqrt(PRIOR_VARIANCE);
        }
        return Math.max(0, coefficient.mean) + CAUTION * Math.sqrt(coefficient.variance);
    }

    /**
     * Returns how many coefficients are held.
     *
     * @return the number of pairs, with one more per service
     */
    public int size() {
        return services.values().stream().mapToInt(Map::size).sum();
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

        void age(long now) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            variance = Math.min(Math.max(variance, PRIOR_VARIANCE), variance + AGEING_PER_SECOND * seconds);
            updatedNanos = Math.max(updatedNanos, now);
        }

        void correct(int count, double error, double spread) {
            double gain = variance * count / spread;
            mean += gain * error;
            variance *= 1 - gain * count;
        }
    }
}
