package dev.waxwinghead.daemon.state;

/**
 * A section of the shared state.
 *
 * <p>The contract of {@link dev.waxwinghead.coordination.log.StateMachine} applies: commands are applied by one thread
 * at a time in the order of the log, and results depend on the commands alone. Readers on other threads are served from
 * immutable views that the section publishes.
 */
public interface StateSection {
    /**
     * Returns the id of this section.
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
     * Returns a snapshot of the section's whole state.
     *
     * @return the encoded state, never null
     */
    byte[] snapshot();

    /**
     * Replaces the section's whole state by a snapshot.
     *
     * @param snapshot the bytes that {@link #snapshot()} returned
     */
    void restore(byte[] snapshot);
}
