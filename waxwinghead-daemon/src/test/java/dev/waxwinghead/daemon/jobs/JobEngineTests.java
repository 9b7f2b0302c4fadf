package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
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

    /** Guards against orders from a table that lacks what another scheduler has committed meanwhile. */
    @Test
    void engineDoesNotActInALaterTermBeforeItHasAcquiredAnEpochThere() throws InterruptedException {
        JobSection section = new JobSection();
        Committing committing = new Committing(section);
        JobEngine engine = closer.register(engine(committing, section));
        engine.start();
        awaitActing(engine);
        committing.commits = false;
        committing.term = 3;
        assertThat(engine.acting()).isFalse();
        committing.commits = true;
        awaitActing(engine);
    }

    /** Guards against lasting tasks that end with their leases while nothing can be committed. */
    @Test
    void engineActsWhileNothingCanBeCommitted() throws InterruptedException {
        JobSection section = new JobSection();
        Committing committing = new Committing(section);
        JobEngine engine = closer.register(engine(committing, section));
        engine.start();
        awaitActing(engine);
        committing.commits = false;
        section.apply(10, JobCodec.pack(new JobCommand.Cancel(JobId.of("j1"))));
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (System.nanoTime() - endNanos < 0) {
            assertThat(engine.acting()).isTrue();
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(committing.refused.get()).isGreaterThan(1);
        committing.commits = true;
        awaitActing(engine);
    }

    private static void awaitActing(JobEngine engine) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!engine.acting() && System.nanoTime() - endNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(engine.acting()).isTrue();
    }

    private static JobEngine engine(SharedState state, JobSection section) {
        SchedulerTimes times = new SchedulerTimes(
                Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofMillis(1), Duration.ofMillis(100));
        return new JobEngine(
                SELF,
                state,
                section.table(),
                new SchedulingAuthority(state, Ticker.system(), System::currentTimeMillis),
                times,
                service -> true,
                new EngineEvents(new SimpleMeterRegistry()),
                Ticker.system(),
                System::currentTimeMillis);
    }

    /** Leads the log and applies commands at once, or refuses them. */
    private static final class Committing implements SharedState {
        private final JobSection section;
        private final AtomicInteger refused = new AtomicInteger();
        private volatile boolean commits = true;
        private volatile long term = 1;
        private long index;

        Committing(JobSection section) {
            this.section = section;
        }

        @Override
        public CompletableFuture<byte[]> propose(SectionId id, byte[] command, Deadline deadline) {
            if (!commits) {
                refused.incrementAndGet();
                return CompletableFuture.failedFuture(
                        WaxwingheadException.of(ErrorKind.NO_MAJORITY, "refused", "retry later"));
            }
            return CompletableFuture.completedFuture(section.apply(++index, command));
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return CompletableFuture.completedFuture(index);
        }

        @Override
        public LogStatus status() {
            return new LogStatus(
                    ReplicaId.of("r1"), LogStatus.Role.LEADER, term, Optional.of(SELF), 1, 1, true, 0, List.of());
        }
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
