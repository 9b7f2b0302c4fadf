package dev.waxwinghead.scheduling.sizing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the processor time that tasks of a class use, as a multiple of what is declared.
 *
 * <p>It never changes what is committed for a task. Used by one thread at a time.
 *
 * @since 0.1
 */
public final class SizeModel {
    private static final double RISE = 0.3;
    private static final double FALL = 0.03;
    private static final double MOST = 10;

    private final Map<String, Double> ratios = new HashMap<>();

    private SizeModel() {}

    /**
     * Returns a model that trusts every declaration.
     *
     * @return the model, never null
     */
    public static SizeModel create() {
        return new SizeModel();
    }

    /**
     * Learns from one measurement. A rise is followed faster than a fall, so that the estimate stays near the peaks.
     *
     * @param taskClass the class of the task
     * @param declaredMillicores what it is declared to need
     * @param usedMillicores what it was seen to use
     */
    public void learn(String taskClass, long declaredMillicores, long usedMillicores) {
        if (declaredMillicores <= 0) {
            return;
        }
        double seen = Math.min(MOST, (double) usedMillicores / declaredMillicores);
        ratios.merge(taskClass, seen, (known, ignored) -> known + (seen > known ? RISE : FALL) * (seen - known));
    }

    /**
     * Returns what a task of a class is expected to use.
     *
     * @param taskClass the class
     * @param declaredMillicores what it is declared to need
     * @return the expected processor time, in millicores
     */
    public double expectedMillicores(String taskClass, long declaredMillicores) {
        return declaredMillicores * ratios.getOrDefault(taskClass, 1.0);
    }
}
