package dev.waxwinghead.benchmarks.tasks;

/** Lists what happens to a fleet while the policy is measured. */
enum Scenario {
    /** Load stays as it is. */
    STEADY,
    /** The services' load rises and falls by half, twice an hour. */
    SHIFTING_LOAD,
    /** Every ten minutes many noisy tasks arrive at once. */
    NOISY_WAVES,
    /** Declared sizes are off by four times either way. */
    WRONG_SIZES,
    /** Measurements arrive half a minute late. */
    LATE_MEASUREMENTS,
    /** Two in a hundred workers are lost each hour, for ten minutes. */
    LOST_WORKERS;

    double measurementDelaySeconds() {
        return this == LATE_MEASUREMENTS ? 30 : 2;
    }

    /** Returns the services' load at a moment, 1 on average. */
    double load(double seconds) {
        return this == SHIFTING_LOAD ? 1 + 0.5 * Math.sin(2 * Math.PI * seconds / 1_800) : 1;
    }

    /** Returns what a class of tasks truly uses, as a multiple of what it is declared to use. */
    double sizeFactor(int batchClass) {
        return this == WRONG_SIZES ? new double[] {0.25, 1, 4, 0.5, 2, 1}[batchClass] : 1;
    }
}
