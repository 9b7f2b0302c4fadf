package dev.waxwinghead.daemon.state;

/**
 * Holds one section of the shared state.
 *
 * <p>The contract of {@link dev.waxwinghead.coordination.log.StateMachine} holds for it: one thread at a time calls, in
 * the order of the log, and the result depends on nothing but the commands. Readers on other threads are served from
 * immutable views that the section publishes.
 */
public interface StateSection {
    /**
     * Returns which section this is.
     *
     * @return the id, never null
     */
    SectionId id();

    /**
     * Applies a committed command.
     *
     * @param index the command's position in the log
     * @param command the command without the section's code
     * @return the result for the proposer, never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Writes the section's whole state.
     *
     * @return the state as bytes, never null
     */
    byte[] snapshot();

    /**
     * Replaces the section's whole state.
     *
     * @param snapshot bytes that {@link #snapshot()} returned
     */
    void restore(byte[] snapshot);
}
