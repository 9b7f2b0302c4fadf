package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.job.ReportReceipt;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import dev.waxwinghead.scheduling.job.WorkerInstructions;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HeldAnswersTests {
    private final HeldAnswers held = new HeldAnswers();

    @Test
    void holdOneReportOfEachWorker() {
        ReportReceipt first = receipt("w1", 1, 100);
        held.add(first, new CompletableFuture<>());
        Optional<HeldAnswers.Held> replaced = held.add(receipt("w1", 2, 200), new CompletableFuture<>());
        assertThat(replaced.map(HeldAnswers.Held::receipt)).isEqualTo(Optional.of(first));
        assertThat(held.removeAll()).hasSize(1);
        assertThat(held.removeAll()).isEmpty();
    }

    @Test
    void releaseOnlyDueReports() {
        held.add(receipt("w1", 1, 100), new CompletableFuture<>());
        held.add(receipt("w2", 1, 200), new CompletableFuture<Optional<WorkerInstructions>>());
        assertThat(held.removeDue(99)).isEmpty();
        assertThat(held.removeDue(100)).hasSize(1);
        assertThat(held.remove(WorkerId.of("w1"))).isEqualTo(Optional.empty());
        assertThat(held.remove(WorkerId.of("w2")).isPresent()).isTrue();
    }

    private static ReportReceipt receipt(String worker, long sequence, long dueNanos) {
        return new ReportReceipt(new WorkerIncarnation(WorkerId.of(worker), 1), sequence, dueNanos);
    }
}
