package dev.waxwinghead.benchmarks.callers;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PolicySimulationTests {
    private static final int REQUESTS = 20_000;
    private static final long SEED = 1;
    private static final int SLOTS = 8;

    /** The latency target while free slots remain in the fleet: five times the mean service time of 20 ms. */
    private static final double TARGET_P99_MILLIS = 100;

    static List<Scenario> scenarios() {
        return PolicyBench.scenarios(REQUESTS);
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void lentSharesMeetTheLatencyTargetWithinTheSlotLimit(Scenario scenario) {
        PolicySimulation.Result leased = PolicySimulation.runAll(scenario, SEED).stream()
                .filter(result -> result.policy().equals("lent shares"))
                .findFirst()
                .orElseThrow();

        assertWithMessage(scenario.name()).that(leased.p99Millis()).isAtMost(TARGET_P99_MILLIS);
        assertWithMessage(scenario.name()).that(leased.maxOutstanding()).isAtMost(SLOTS);
    }
}
