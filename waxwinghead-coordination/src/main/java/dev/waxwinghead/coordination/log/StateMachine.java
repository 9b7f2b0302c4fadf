package dev.waxwinghead.coordination.log;

/**
 * Applies the commands of a {@link ReplicatedLog} to a state.
 *
 * <p>The log calls the methods from one thread at a time, in log order. Implementations must be deterministic: the same
 * commands in the same order give the same state and the same results on every replica.
 *
 * @since 0.1
 */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @param index the position of the command in the log, higher with each call
     * @param command the command as proposed, not null
     * @return the result that the proposer receives, never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Returns the whole state in serialised form.
     *
     * @return the serialised state, never null
     */
    byte[] snapshot();

    /**
     * Replaces the whole state with a snapshot.
     *
     * @param snapshot bytes that {@link #snapshot()} returned on this or another replica, not null
     */
    void restore(byte[] snapshot);
}
