package dev.waxwinghead.coordination.replica;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ApplierTests {
    private final List<Long> applied = new CopyOnWriteArrayList<>();
    private final CompletableFuture<WaxwingheadException> failure = new CompletableFuture<>();
    private final Applier applier = new Applier(
            new FailingStateMachine(),
            ReplicaSettings.of(HostId.of("e1"), "127.0.0.1:1", List.of(HostId.of("e1"))),
            (index, state) -> {},
            failure::complete);

    @AfterEach
    void close() {
        applier.close();
    }

    @Test
    void errorInTheStateMachineStopsTheReplica() throws Exception {
        applier.apply(List.of(command(1)));
        assertThat(failure.get(5, TimeUnit.SECONDS).kind()).isEqualTo(ErrorKind.INTERNAL);
    }

    @Test
    void entriesAfterAnErrorAreNotApplied() {
        applier.apply(List.of(command(1)));
        applier.apply(List.of(command(2)));
        applier.close();
        assertThat(applied).isEmpty();
    }

    private static LogEntry command(long index) {
        return new LogEntry(index, 1, LogEntry.Kind.COMMAND, new byte[0]);
    }

    /** Fails with an error on the first entry. */
    private final class FailingStateMachine implements StateMachine {
        @Override
        public byte[] apply(long index, byte[] command) {
            if (index == 1) {
                throw new StackOverflowError("deep command");
            }
            applied.add(index);
            return new byte[0];
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}
    }
}
