package dev.waxwinghead.daemon.state;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Implements {@link SharedState} over the replicated log. */
public final class LogSharedState implements SharedState {
    private final ReplicatedLog log;

    private LogSharedState(ReplicatedLog log) {
        this.log = log;
    }

    /**
     * Creates the shared state over a log.
     *
     * @param log the log, whose state machine is a {@link SectionedStateMachine}
     * @return the shared state, never null
     */
    public static LogSharedState of(ReplicatedLog log) {
        return new LogSharedState(log);
    }

    @Override
    public CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline) {
        return log.propose(SectionedStateMachine.envelope(section, command), deadline);
    }

    @Override
    public CompletableFuture<Long> readBarrier(Deadline deadline) {
        return log.readBarrier(deadline);
    }

    @Override
    public LogStatus status() {
        return log.status();
    }
}
