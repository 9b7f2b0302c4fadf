package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FullPoolTests {
    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ManualClock clock = new ManualClock();
    private final TestCluster cluster = new TestCluster(clock, "e1@dc1");
    private final TestHost host = cluster.addAll().get(0);

    @AfterEach
    void close() {
        cluster.close();
    }

    @Test
    void queuesAreProcessedAgainAfterThePoolWasFull() {
        host.setPoolFull(true);
        clock.advance(STEP_NANOS);
        host.setPoolFull(false);
        int before = host.poolActions();
        clock.advance(STEP_NANOS);
        assertThat(host.poolActions() - before).isAtLeast(10);
    }
}
