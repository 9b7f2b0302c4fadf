package dev.waxwinghead.scheduling.sizing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the processor time that tasks of a class use, as a multiple of the declared processor time.
 *
 * <p>The estimates never change the resources committed for a task. Not thread-safe.
 *
 * @since 0.1
 */
public final class UsageModel {
    private static final double RISE_WEIGHT = 0.3;
    private static final double FALL_WEIGHT = 0.03;
    private static final double MAX_RATIO = 10;

    private final Map<String, Double> ratios = new HashMap<>();

    private UsageModel() {}

    /**
     * Returns a model without measurements, which expects every task to use exactly the declared processor time.
     *
     * @return the model, never null
     */
    public static UsageModel create() {
        return new UsageModel();
    }

    /**
     * Updates the estimate with a measurement. Higher values have a larger weight than lower ones, so that the estimate
     * stays near the peaks.
     *
     * @param taskClass the class of the measured task
     * @param declaredMillicores the declared processor time, in millicores; the measurement is ignored if 0 or less
     * @param usedMillicores the measured processor time, in millicores
     */
    public void learn(String taskClass, long declaredMillicores, long usedMillicores) {
        if (declaredMillicores <= 0) {
            return;
        }
        double measured = Math.min(MAX_RATIO, (double) usedMillicores / declaredMillicores);
        ratios.merge(
                taskClass,
                measured,
                (estimate, ignored) ->
                        estimate + (measured > estimate ? RISE_WEIGHT : FALL_WEIGHT) * (measured - estimate));
    }

    /**
     * Returns the processor time that a task of a class is expected to use.
     *
     * @param taskClass the class
     * @param declaredMillicores the declared processor time, in millicores
     * @return the expected processor time, in millicores
     */
    public double expectedMillicores(String taskClass, long declaredMillicores) {
        return declaredMillicores * ratios.getOrDefault(taskClass, 1.0);
    }
}
