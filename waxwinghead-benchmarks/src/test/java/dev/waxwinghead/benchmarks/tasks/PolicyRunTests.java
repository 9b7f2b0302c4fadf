package dev.waxwinghead.benchmarks.tasks;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares the learned policy with first fit by simulated results, which are the same on every machine. */
class PolicyRunTests {
    private static final int SECONDS = 900;
    private static final long SEED = 1;
    private static final double MAX_URGENT_START_SECONDS = 5.5;

    @ParameterizedTest
    @EnumSource(
            value = Scenario.class,
            names = {"STEADY", "LATE_MEASUREMENTS"})
    void halvesExcessAndEvictionsOfFirstFitAtNoLessThroughput(Scenario scenario) {
        PolicyResult learned = PolicyRun.run(Fleet.SEATING, scenario, Policy.LEARNED, SECONDS, SEED);
        PolicyResult firstFit = PolicyRun.run(Fleet.SEATING, scenario, Policy.FIRST_FIT, SECONDS, SEED);

        assertThat(learned.targetExcess()).isAtMost(firstFit.targetExcess() / 2);
        assertThat(learned.evictionsPerThousand()).isAtMost(firstFit.evictionsPerThousand() / 2);
        assertThat(learned.workPerHour()).isAtLeast(firstFit.workPerHour());
        assertThat(learned.urgentStartP99Seconds()).isAtMost(MAX_URGENT_START_SECONDS);
    }
}
