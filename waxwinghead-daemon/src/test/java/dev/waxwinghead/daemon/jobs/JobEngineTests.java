package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class JobEngineTests {
    private static final HostId SELF = HostId.of("10.0.0.1");

    private final Closer closer = Closer.create();
    private final FailingOnce state = new FailingOnce();

    @AfterEach
    void close() {
        closer.close();
    }

    @Test
    void engineActsAgainAfterAnError() throws InterruptedException {
        SchedulerTimes times = new SchedulerTimes(
                Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMillis(100));
        JobEngine engine = closer.register(new JobEngine(
                SELF,
                state,
                new JobSection().table(),
                new SchedulingAuthority(state, Ticker.system(), System::currentTimeMillis),
                times,
                service -> true,
                new EngineEvents(new SimpleMeterRegistry()),
                Ticker.system(),
                System::currentTimeMillis));
        engine.start();
        assertThat(state.proposed.await(5, TimeUnit.SECONDS)).isTrue();
    }

    /** Fails with an error on the first query of the status. */
    private static final class FailingOnce implements SharedState {
        private final AtomicBoolean failed = new AtomicBoolean();
        private final CountDownLatch proposed = new CountDownLatch(1);

        @Override
        public CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline) {
            proposed.countDown();
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return new CompletableFuture<>();
        }

        @Override
        public LogStatus status() {
            if (failed.compareAndSet(false, true)) {
                throw new StackOverflowError("deep plan");
            }
            return new LogStatus(
                    ReplicaId.of("r1"), LogStatus.Role.LEADER, 1, Optional.of(SELF), 1, 1, true, 0, List.of());
        }
    }
}
