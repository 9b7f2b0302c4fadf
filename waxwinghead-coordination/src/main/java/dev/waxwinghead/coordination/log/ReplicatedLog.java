package dev.waxwinghead.coordination.log;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/**
 * Orders commands across all replicas and applies them to the state machine of each replica.
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
     * <p>The future completes with the result of the state machine once a majority has the command on disk and this
     * replica has applied it. The future fails with a {@link dev.waxwinghead.model.error.WaxwingheadException} of kind
     * {@code NO_MAJORITY} if the command was definitely not accepted, and of kind {@code UNKNOWN_OUTCOME} if the
     * command may have been accepted. The log never proposes a command a second time on its own.
     *
     * @param command the command, not null
     * @param deadline the time after which the future fails, not null
     * @return a future of the result of the state machine, never null
     */
    CompletableFuture<byte[]> propose(byte[] command, Deadline deadline);

    /**
     * Waits until this replica has applied every entry that was committed before the call. A majority confirms which
     * entries these are.
     *
     * @param deadline the time after which the future fails, not null
     * @return a future of the last index that this replica has applied, never null; fails with kind {@code NO_MAJORITY}
     *     if no majority confirms the read
     */
    CompletableFuture<Long> readBarrier(Deadline deadline);

    /**
     * Removes a member permanently. The removed replica never votes again.
     *
     * @param member the entry host to remove, not null
     * @param deadline the time after which the future fails, not null
     * @return a future that completes once the removal is committed, never null
     */
    CompletableFuture<Void> removeMember(HostId member, Deadline deadline);

    /**
     * Returns the current status of this replica.
     *
     * @return the status, never null
     */
    LogStatus status();

    @Override
    void close();
}
