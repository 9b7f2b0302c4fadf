package dev.waxwinghead.coordination.log;

/**
 * Holds the state that the replicated log drives.
 *
 * <p>Calls come from one thread at a time, in the order of the log. Every implementation must be deterministic: the
 * same commands in the same order give the same state and the same results on every replica.
 *
 * @since 0.1
 */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @param index the command's position in the log, rising
     * @param command the command as it was proposed
     * @return the result for the proposer, never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Writes the whole state.
     *
     * @return the state as bytes, never null
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes that {@link #snapshot()} returned here or on another replica
     */
    void restore(byte[] snapshot);
}
