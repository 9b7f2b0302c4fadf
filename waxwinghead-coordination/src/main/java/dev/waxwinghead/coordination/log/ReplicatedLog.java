package dev.waxwinghead.coordination.log;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/**
 * Orders commands over all replicas and applies them to each replica's state machine.
 *
 * <p>All methods may be called on any replica, voter or learner, and from any thread. Futures complete on threads of
 * the implementation; dependents must not block.
 *
 * @since 0.1
 */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Proposes a command.
     *
     * <p>The future completes with the state machine's result once a majority has the command on disk and this replica
     * has applied it. It fails with a {@link dev.waxwinghead.model.error.WaxwingheadException} of kind
     * {@code NO_MAJORITY} if the command was surely not accepted, and of kind {@code UNKNOWN_OUTCOME} if it may still
     * be. The log never proposes a command twice by itself.
     *
     * @param command the command
     * @param deadline when to give up waiting
     * @return the state machine's result
     */
    CompletableFuture<byte[]> propose(byte[] command, Deadline deadline);

    /**
     * Waits until this replica has applied everything that was committed before the call, as a majority confirms.
     *
     * @param deadline when to give up waiting
     * @return the index up to which this replica has applied; fails with kind {@code NO_MAJORITY} otherwise
     */
    CompletableFuture<Long> readBarrier(Deadline deadline);

    /**
     * Starts removing a member for good. Its replica never votes again.
     *
     * @param member the entry host to remove
     * @param deadline when to give up waiting
     * @return completes once the removal is committed
     */
    CompletableFuture<Void> removeMember(HostId member, Deadline deadline);

    /**
     * Returns what this replica knows about the log now.
     *
     * @return the status, never null
     */
    LogStatus status();

    @Override
    void close();
}
