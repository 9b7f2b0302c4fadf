package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.callers.ManualClock;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class DataCentreDrainsTests {
    private static final DataCentreId A = DataCentreId.of("dc-a");
    private static final Duration SENDER_WAITS = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final JobSection section = new JobSection();
    private final DelayedLog log = new DelayedLog(section);
    private final DataCentreDrains drains = DataCentreDrains.of(log, section.table(), clock);

    private Deadline deadline() {
        return Deadline.after(SENDER_WAITS, clock);
    }

    /** Guards against an order that a paused host reads after its sender has replaced it. */
    @Test
    void refusesAnOrderThatItReadsAfterItsSenderHasGivenUp() {
        Deadline deadline = deadline();
        clock.advance(SENDER_WAITS.toNanos());
        CompletableFuture<DrainResult> late = drains.drain(A, deadline);
        CompletionException failure = assertThrows(CompletionException.class, late::join);
        assertThat(WaxwingheadException.from(failure).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
        assertThat(log.waiting()).isEqualTo(0);
    }

    /** Guards against an order that reaches the log after one that was sent later. */
    @Test
    void leavesALaterOrderInForceThatOvertakesTheProposal() {
        CompletableFuture<DrainResult> late = drains.drain(A, deadline());
        log.apply(new JobCommand.Undrain(A, 0));
        clock.advance(SENDER_WAITS.toNanos());
        log.applyNext();
        CompletionException failure = assertThrows(CompletionException.class, late::join);
        assertThat(WaxwingheadException.from(failure).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
        assertThat(section.table().drainedDataCentres()).isEmpty();
    }

    /** Guards against an order that is refused or ignored since the host's replica lags behind. */
    @Test
    void carriesAnOrderOutThatWasReceivedByALaggingHost() {
        CompletableFuture<DrainResult> undrain = drains.undrain(A, deadline());
        log.apply(new JobCommand.Drain(A, 0));
        log.applyNext();
        assertThat(undrain.isDone()).isFalse();
        log.applyNext();
        assertThat(undrain.join().outcome()).isEqualTo(JobOutcome.APPLIED);
        assertThat(section.table().drainedDataCentres()).isEmpty();
    }

    /** Holds proposals back until the test applies them. */
    private static final class DelayedLog implements SharedState {
        private final JobSection section;
        private final Queue<Runnable> proposals = new ArrayDeque<>();
        private long index;

        DelayedLog(JobSection section) {
            this.section = section;
        }

        int waiting() {
            return proposals.size();
        }

        void applyNext() {
            proposals.remove().run();
        }

        void apply(JobCommand command) {
            byte[] unused = section.apply(++index, JobCodec.pack(command));
        }

        @Override
        public CompletableFuture<byte[]> propose(SectionId target, byte[] command, Deadline deadline) {
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            proposals.add(() -> result.complete(section.apply(++index, command)));
            return result;
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return CompletableFuture.completedFuture(index);
        }

        @Override
        public LogStatus status() {
            throw new UnsupportedOperationException("a drain depends on no status");
        }
    }
}
