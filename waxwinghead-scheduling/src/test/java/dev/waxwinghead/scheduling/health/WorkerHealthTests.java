package dev.waxwinghead.scheduling.health;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.WorkerId;
import org.junit.jupiter.api.Test;

class WorkerHealthTests {
    private static final WorkerId W1 = WorkerId.of("w1");
    private static final long QUARANTINE = 6;

    private final WorkerHealth<String> health = WorkerHealth.create(QUARANTINE);

    /** Guards against a quarantine that is doubled without a trial. */
    @Test
    void failuresOfTasksAssignedBeforeAQuarantineDoNotProlongIt() {
        failThreeTimes();
        assertThat(health.quarantined(W1)).isTrue();
        health.failed(W1, "b", 1);
        health.review(W1, QUARANTINE);
        assertThat(health.accepts(W1, "c", QUARANTINE)).isTrue();
    }

    @Test
    void aFailedTrialDoublesTheQuarantine() {
        failThreeTimes();
        health.failed(W1, "b", QUARANTINE);
        assertThat(health.accepts(W1, "c", 3 * QUARANTINE - 1)).isFalse();
        assertThat(health.accepts(W1, "c", 3 * QUARANTINE)).isTrue();
    }

    private void failThreeTimes() {
        health.failed(W1, "a", 0);
        health.failed(W1, "b", 0);
        health.failed(W1, "b", 0);
    }
}
