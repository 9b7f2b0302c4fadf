package dev.waxwinghead.benchmarks.tasks;

/** Describes the conditions under which a policy is measured. */
enum Scenario {
    /** The load is constant. */
    STEADY,
    /** The load of the services varies by half around its mean, twice an hour. */
    SHIFTING_LOAD,
    /** Every ten minutes a job of many tasks with strong interference arrives. */
    NOISY_WAVES,
    /** Tasks use between a quarter of and four times the declared processor time. */
    WRONG_SIZES,
    /** Measurements arrive 30 seconds late. */
    LATE_MEASUREMENTS,
    /** Two per cent of the workers are lost each hour, each for ten minutes. */
    LOST_WORKERS;

    double measurementDelaySeconds() {
        return this == LATE_MEASUREMENTS ? 30 : 2;
    }

    /** Returns the load of the services at a virtual time, as a multiple of the mean load. */
    double load(double seconds) {
        return this == SHIFTING_LOAD ? 1 + 0.5 * Math.sin(2 * Math.PI * seconds / 1_800) : 1;
    }

    /** Returns the actual processor use of a class of batch tasks as a multiple of the declared use. */
    double sizeFactor(int batchClass) {
        return this == WRONG_SIZES ? new double[] {0.25, 1, 4, 0.5, 2, 1}[batchClass] : 1;
    }
}
