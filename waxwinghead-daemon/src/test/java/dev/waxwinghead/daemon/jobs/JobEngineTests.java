package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobStep;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTerms;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import dev.waxwinghead.scheduling.job.WorkerInstructions;
import dev.waxwinghead.scheduling.job.WorkerReport;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
    void leasesAreGrantedWhileNoPlanCanBeCommitted() throws Exception {
        JobSection section = new JobSection();
        Committing committing = new Committing(section);
        JobEngine engine = closer.register(engine(committing, section));
        engine.start();
        awaitActing(engine);
        assertThat(report(engine, 1)).isPresent();
        committing.commits = false;
        committing.accept(lastingJob());
        engine.wake();
        int sequence = 2;
        while (sequence < 6 || committing.refused.get() < 2) {
            Optional<WorkerInstructions> answer = report(engine, sequence++);
            assertThat(answer).isPresent();
            assertThat(answer.get().leaseMillis()).isGreaterThan(0);
            assertThat(answer.get().starts()).isEmpty();
        }
        committing.commits = true;
        // While the engine acquires an epoch, an answer may be empty.
        while (report(engine, sequence).map(answer -> answer.starts().isEmpty()).orElse(true)) {
            assertThat(sequence++).isLessThan(100);
        }
    }

    private static JobCommand.Accept lastingJob() {
        JobStep step = new JobStep(
                1,
                Resources.of(1, 1, 0),
                1000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                true,
                "",
                0,
                false,
                0);
        return new JobCommand.Accept(
                new JobSubmission(JobId.of("00000000000000a1"), "x", List.of(step), JobSchedule.ONCE),
                new JobTerms(JobClassName.of("c"), ServiceName.of("s"), 1, 2, 1.5, 3),
                System.currentTimeMillis());
    }

    private static Optional<WorkerInstructions> report(JobEngine engine, long sequence) throws Exception {
        WorkerReport report = new WorkerReport(
                new WorkerIncarnation(WorkerId.of("w1"), 1),
                sequence,
                ServiceName.of("s"),
                "10.0.0.9:8080",
                Resources.of(16_000, 1L << 30, 0),
                Set.of(),
                "",
                false,
                0,
                List.of(),
                List.of());
        return engine.report(report).get(5, TimeUnit.SECONDS);
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
                Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMillis(100));
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

        synchronized void accept(JobCommand.Accept command) {
            section.apply(++index, JobCodec.pack(command));
        }

        @Override
        public synchronized CompletableFuture<byte[]> propose(SectionId id, byte[] command, Deadline deadline) {
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
