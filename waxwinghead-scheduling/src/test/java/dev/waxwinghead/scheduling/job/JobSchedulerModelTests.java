package dev.waxwinghead.scheduling.job;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays random histories of schedulers and workers, see {@link ModelFleet}.
 *
 * <p>The system properties {@code histories} and {@code firstSeed} select others, and {@code trace} prints them.
 */
class JobSchedulerModelTests {
    private static final long HISTORIES = Long.getLong("histories", 100);
    private static final long FIRST_SEED = Long.getLong("firstSeed", 0);

    @Test
    void roomEqualsWhatRunsAndTasksRunOnceAndInTime() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            play(seed, false, false, false);
        }
    }

    /**
     * Guards against gangs that start again after one member has reported their completion, and lasting tasks that do
     * not start again after a run has completed.
     */
    @Test
    void holdsForAllKindsOfTasks() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            play(seed, true, false, false);
        }
    }

    /**
     * Guards against starts in a drained data centre, also those that were committed before the drain, against tasks
     * that run twice since a withdrawn start arrives late, and against room that a withdrawn start keeps.
     */
    @Test
    void holdsForDrainsAtAnyMoment() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            play(seed, seed % 2 == 0, true, false);
        }
    }

    /**
     * Guards against lasting tasks that wait for long while schedulers restart, workers leave or other work goes on.
     */
    @Test
    void lastingTasksRunAgainInTimeDuringPlannedWork() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            play(seed, false, false, true);
        }
    }

    /** Guards against the faults that histories with these seeds have found. */
    @ParameterizedTest
    @ValueSource(longs = {2, 228, 1847, 2535, 3030, 4124})
    void holdsForHistoriesThatFailedBefore(long seed) {
        play(seed, false, false, false);
    }

    /** Guards against the faults of a gang that starts again (1058) and of a lasting task that does not (7). */
    @ParameterizedTest
    @ValueSource(longs = {7, 1058})
    void holdsForHistoriesOfAllKindsThatFailedBefore(long seed) {
        play(seed, true, false, false);
    }

    private static void play(long seed, boolean allKinds, boolean withDrains, boolean withPlannedWork) {
        try {
            new ModelFleet(seed, Boolean.getBoolean("trace"), allKinds, withDrains, withPlannedWork).run();
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }
}
