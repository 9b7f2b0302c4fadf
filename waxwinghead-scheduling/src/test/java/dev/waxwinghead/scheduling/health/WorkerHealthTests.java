package dev.waxwinghead.scheduling.health;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkerHealthTests {
    private static final WorkerId W1 = WorkerId.of("w1");
    private static final WorkerId W2 = WorkerId.of("w2");
    private static final WorkerId W3 = WorkerId.of("w3");
    private static final long QUARANTINE = 6;

    private final WorkerHealth<String, String> health = WorkerHealth.create(QUARANTINE, QuarantineControl.UNBOUNDED);

    /** Guards against a quarantine that is doubled without a trial. */
    @Test
    void failuresOfTasksAssignedBeforeAQuarantineDoNotProlongIt() {
        failThreeTimes();
        assertThat(health.quarantined(W1)).isTrue();
        health.failed(W1, "b", "b3", 1);
        health.review(W1, QUARANTINE);
        assertThat(health.accepts(W1, "c", QUARANTINE)).isTrue();
    }

    @Test
    void aFailedTrialDoublesTheQuarantine() {
        failThreeTimes();
        health.failed(W1, "b", "b3", QUARANTINE);
        assertThat(health.accepts(W1, "c", 3 * QUARANTINE - 1)).isFalse();
        assertThat(health.accepts(W1, "c", 3 * QUARANTINE)).isTrue();
    }

    /** Guards against a fleet that is quarantined for one task that fails wherever it runs. */
    @Nested
    class FailuresOfOneTask {
        @BeforeEach
        void succeedWithAnotherTaskOfTheJob() {
            health.succeeded(W1, "a", "a0");
        }

        @Test
        void onSeveralWorkersCountAgainstTheTask() {
            for (int round = 0; round < 20; round++) {
                for (WorkerId worker : List.of(W2, W3)) {
                    health.failed(worker, "a", "a1", round);
                }
            }
            assertThat(health.failsOnSeveralWorkers("a1")).isTrue();
            assertThat(health.quarantined(W2)).isFalse();
            assertThat(health.quarantined(W3)).isFalse();
        }

        @Test
        void doNotAddToThoseOfOtherTasksOnAWorker() {
            health.failed(W2, "a", "a1", 0);
            health.failed(W3, "a", "a1", 0);
            health.failed(W2, "b", "b1", 0);
            health.failed(W2, "b", "b2", 0);
            assertThat(health.quarantined(W2)).isFalse();
        }

        @Test
        void leaveAWorkerProven() {
            health.succeeded(W2, "b", "b1");
            health.failed(W3, "a", "a1", 0);
            health.failed(W2, "a", "a1", 0);
            assertThat(health.restricted(W2)).isFalse();
        }

        @Test
        void doNotProlongAQuarantine() {
            health.failed(W3, "a", "a1", 0);
            failThreeTimes();
            health.failed(W1, "a", "a1", QUARANTINE);
            assertThat(health.accepts(W1, "c", QUARANTINE)).isTrue();
        }

        @Test
        void countAgainstTheOnlyWorkerOnWhichItFails() {
            for (int round = 0; round < 4; round++) {
                health.failed(W2, "a", "a1", round);
            }
            assertThat(health.quarantined(W2)).isTrue();
        }

        @Test
        void countAgainOnceTheTaskHasSucceeded() {
            health.failed(W2, "a", "a1", 0);
            health.failed(W3, "a", "a1", 0);
            health.succeeded(W1, "a", "a1");
            assertThat(health.failsOnSeveralWorkers("a1")).isFalse();
        }
    }

    @Test
    void failuresOfSeveralTasksOfAJobThatSucceedsElsewhereCountAgainstTheWorker() {
        health.succeeded(W2, "a", "a0");
        for (int task = 1; task <= 4; task++) {
            health.failed(W1, "a", "a" + task, 0);
        }
        assertThat(health.quarantined(W1)).isTrue();
    }

    @Test
    void aQuarantineLastsAtMostFourTimesAsLongAsTheFirst() {
        failThreeTimes();
        long now = QUARANTINE;
        for (long lasts : List.of(2 * QUARANTINE, 4 * QUARANTINE, 4 * QUARANTINE)) {
            health.failed(W1, "b", "b" + now, now);
            assertThat(health.accepts(W1, "c", now + lasts - 1)).isFalse();
            assertThat(health.accepts(W1, "c", now + lasts)).isTrue();
            now += lasts;
        }
    }

    @Test
    void aWorkerIsNotQuarantinedAgainstTheControl() {
        Refusal refusal = new Refusal();
        WorkerHealth<String, String> bounded = WorkerHealth.create(QUARANTINE, refusal);
        bounded.failed(W1, "a", "a1", 0);
        bounded.failed(W1, "b", "b1", 0);
        bounded.failed(W1, "b", "b2", 0);
        bounded.review(W1, 1);
        assertThat(bounded.quarantined(W1)).isFalse();
        assertThat(bounded.restricted(W1)).isTrue();
        assertThat(refusal.decisions).containsExactly("w1 failures 3 of 3 tasks of 2 jobs: 0 ms");
    }

    /** Guards against long tasks that keep a worker from others, and against workers that fail all they get. */
    @Nested
    class Trials {
        private void start(String... tasks) {
            for (String task : tasks) {
                health.started(W1, task);
            }
        }

        private boolean accepted() {
            return health.accepts(W1, "z", 0);
        }

        @BeforeEach
        void startAsManyAsAllowed() {
            start("a1", "a2", "a3", "a4", "a5");
            assertThat(accepted()).isFalse();
        }

        @Test
        void endWithTasksThatRunWell() {
            health.runsWell(W1, "a1");
            health.runsWell(W1, "a1");
            assertThat(accepted()).isTrue();
            start("b1");
            assertThat(accepted()).isFalse();
            assertThat(health.restricted(W1)).isTrue();
        }

        @Test
        void areCountedOnce() {
            health.runsWell(W1, "a1");
            start("b1");
            health.endedInconclusively(W1, "a1");
            assertThat(accepted()).isFalse();
            health.endedInconclusively(W1, "b1");
            assertThat(accepted()).isTrue();
        }

        @Test
        void areCountedAgainIfTheTaskFailsLater() {
            health.runsWell(W1, "a1");
            assertThat(accepted()).isTrue();
            health.failed(W1, "a", "a1", 0);
            assertThat(accepted()).isFalse();
        }

        @Test
        void onProbationLastUntilTheTaskEnds() {
            failThreeTimes();
            assertThat(health.accepts(W1, "c", QUARANTINE)).isTrue();
            start("c1");
            health.runsWell(W1, "c1");
            assertThat(health.accepts(W1, "c", QUARANTINE)).isFalse();
        }

        @Test
        void areExceededForStarvedJobsOnly() {
            assertThat(health.acceptsStarved(W1, "z")).isTrue();
            health.failed(W1, "a", "a1", 0);
            assertThat(health.acceptsStarved(W1, "a")).isFalse();
            failThreeTimes();
            assertThat(health.acceptsStarved(W1, "z")).isFalse();
        }
    }

    private static final class Refusal implements QuarantineControl {
        private final List<String> decisions = new ArrayList<>();

        @Override
        public boolean permits(WorkerId worker) {
            return false;
        }

        @Override
        public void decided(WorkerId worker, Evidence evidence, long millis) {
            decisions.add(worker.value() + " failures " + evidence.failures() + " of " + evidence.tasks() + " tasks of "
                    + evidence.jobs() + " jobs: " + millis + " ms");
        }
    }

    private void failThreeTimes() {
        health.failed(W1, "a", "a1", 0);
        health.failed(W1, "b", "b1", 0);
        health.failed(W1, "b", "b2", 0);
    }
}
