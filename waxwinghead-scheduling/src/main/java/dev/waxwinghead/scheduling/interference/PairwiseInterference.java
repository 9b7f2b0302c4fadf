package dev.waxwinghead.scheduling.interference;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much the tasks beside a serving task raise its latency, pair of images by pair of images.
 *
 * <p>The logarithm of a latency is taken as the level of the serving task's job, which follows its load within seconds,
 * plus a rise for each unit of processor time that an image uses beside it. Both are tracked with variances that grow
 * with age. Used by one thread at a time.
 *
 * @since 0.2
 */
public final class PairwiseInterference {
    private static final double PRIOR_LEVEL = -0.8;
    private static final double PRIOR_LEVEL_VARIANCE = 0.3;

    /** Load swings by one in the logarithm within several seconds. */
    private static final double LEVEL_AGEING_PER_SECOND = 0.06;

    private static final double PRIOR_RISE = 0.03;
    private static final double PRIOR_RISE_VARIANCE = 0.01;

    /** What an image does changes far more slowly than load. */
    private static final double RISE_AGEING_PER_SECOND = 0.00002;

    /** After how long without a measurement a rise has gone most of the way back to what is expected of any pair. */
    private static final double RISE_MEMORY_SECONDS = 120;

    /** Below this variance a rise is known: some seconds beside each other. */
    private static final double KNOWN_VARIANCE = 0.0015;

    /** The peak of a job that has not been seen through a swing. */
    private static final double PRIOR_PEAK = -0.3;

    /** By how much a peak is forgotten in a second: a swing takes 10 to 20 of them. */
    private static final double PEAK_DECAY_PER_SECOND = 0.03;

    private static final double MEASUREMENT_VARIANCE = 0.06;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Estimate> levels = new HashMap<>();
    private final Map<String, Map<String, Estimate>> rises = new HashMap<>();

    private PairwiseInterference() {}

    /**
     * Returns a model that has learned nothing.
     *
     * @return the model, never null
     */
    public static PairwiseInterference create() {
        return new PairwiseInterference();
    }

    /**
     * Takes a measurement in.
     *
     * @param job the serving task's job
     * @param image the serving task's image
     * @param beside how many units of processor time each image used beside it
     * @param logRatio the logarithm of its latency as a multiple of its target
     * @param now when it was taken, in nanoseconds
     */
    public void learn(String job, String image, Map<String, Double> beside, double logRatio, long now) {
        Estimate level = level(job, now);
        level.age(now, LEVEL_AGEING_PER_SECOND, PRIOR_LEVEL_VARIANCE);
        Map<String, Estimate> known = rises.computeIfAbsent(image, key -> new HashMap<>());
        double error = logRatio - level.mean;
        double spread = MEASUREMENT_VARIANCE + level.variance;
        for (Map.Entry<String, Double> other : beside.entrySet()) {
            Estimate rise =
                    known.computeIfAbsent(other.getKey(), key -> new Estimate(PRIOR_RISE, PRIOR_RISE_VARIANCE, now));
            rise.mean = rise.meanAt(now, PRIOR_RISE);
            rise.age(now, RISE_AGEING_PER_SECOND, PRIOR_RISE_VARIANCE);
            error -= rise.mean * other.getValue();
            spread += rise.variance * other.getValue() * other.getValue();
        }
        level.correct(1, error, spread);
        level.notePeak(now);
        for (Map.Entry<String, Double> other : beside.entrySet()) {
            known.get(other.getKey()).correct(other.getValue(), error, spread);
        }
    }

    /**
     * Returns the level of a serving job without anything beside it.
     *
     * @param job the job
     * @return the logarithm of its latency as a multiple of its target
     */
    public double level(String job) {
        Estimate level = levels.get(job);
        return level == null ? PRIOR_LEVEL : level.mean;
    }

    /**
     * Returns the highest level of a serving job within the last swing of its load.
     *
     * @param job the job
     * @param now the time now, in nanoseconds
     * @return the logarithm of its latency as a multiple of its target
     */
    public double peak(String job, long now) {
        Estimate level = levels.get(job);
        return level == null ? PRIOR_PEAK : Math.max(level.mean, level.peak(now));
    }

    /**
     * Tells whether a pair of images has been seen together often enough to be judged.
     *
     * @param image the serving image
     * @param other the image beside it
     * @param now the time now, in nanoseconds
     * @return true if the rise is known well
     */
    public boolean knows(String image, String other, long now) {
        Map<String, Estimate> known = rises.get(image);
        Estimate rise = known == null ? null : known.get(other);
        return rise != null && rise.varianceAt(now, RISE_AGEING_PER_SECOND) < KNOWN_VARIANCE;
    }

    /**
     * Returns how much one unit of an image raises a serving image's latency.
     *
     * @param image the serving image
     * @param other the image beside it
     * @param now the time now, in nanoseconds
     * @return the rise of the logarithm, not negative; what was learned long ago counts less
     */
    public double rise(String image, String other, long now) {
        Map<String, Estimate> known = rises.get(image);
        Estimate rise = known == null ? null : known.get(other);
        if (rise == null) {
            return PRIOR_RISE;
        }
        return Math.max(0, rise.meanAt(now, PRIOR_RISE));
    }

    /**
     * Describes what is known of all pairs, for a log line.
     *
     * @param now the time now, in nanoseconds
     * @return the pairs with their rises in thousandths
     */
    public String describe(long now) {
        StringBuilder text = new StringBuilder();
        rises.forEach((image, known) -> known.forEach((other, rise) -> text.append(other)
                .append('>')
                .append(image)
                .append('=')
                .append(Math.round(1000 * rise.meanAt(now, PRIOR_RISE)))
                .append(rise.varianceAt(now, RISE_AGEING_PER_SECOND) < KNOWN_VARIANCE ? " " : "? ")));
        return text.toString().strip();
    }

    /**
     * Forgets a job that is gone.
     *
     * @param job the job
     */
    public void forget(String job) {
        levels.remove(job);
    }

    private Estimate level(String job, long now) {
        return levels.computeIfAbsent(job, key -> new Estimate(PRIOR_LEVEL, PRIOR_LEVEL_VARIANCE, now));
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

        void notePeak(long now) {
            if (mean >= peak(now)) {
                peak = mean;
                peakNanos = now;
            }
        }

        double peak(long now) {
            return peak - PEAK_DECAY_PER_SECOND * Math.max(0, now - peakNanos) / NANOS_PER_SECOND;
        }

        /** Returns the mean as it has faded towards the expected one since the last measurement. */
        double meanAt(long now, double expected) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            return expected + (mean - expected) * Math.exp(-seconds / RISE_MEMORY_SECONDS);
        }

        double varianceAt(long now, double perSecond) {
            return variance + perSecond * Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
        }

        void age(long now, double perSecond, double most) {
            double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
            variance = Math.min(most, variance + perSecond * seconds);
            updatedNanos = Math.max(updatedNanos, now);
        }

        void correct(double weight, double error, double spread) {
            double gain = variance * weight / spread;
            mean += gain * error;
            variance *= 1 - gain * weight;
        }
    }
}
