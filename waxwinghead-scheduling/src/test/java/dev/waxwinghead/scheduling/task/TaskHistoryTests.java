package dev.waxwinghead.scheduling.task;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TaskHistoryTests {
    private static final int HISTORIES_PER_BLOCK = 500;

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5})
    void neverOvercommitsNorRunsTwiceNorLosesWork(long block) {
        for (long seed = block * HISTORIES_PER_BLOCK; seed < (block + 1) * HISTORIES_PER_BLOCK; seed++) {
            try {
                new SchedulerSimulation(seed).run();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }
}
