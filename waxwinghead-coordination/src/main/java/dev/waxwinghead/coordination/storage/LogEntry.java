package dev.waxwinghead.coordination.storage;

/**
 * Holds one entry of the log.
 *
 * @param index its position, from 1
 * @param term the term of the leader that created it
 * @param kind what its payload is
 * @param payload the command or membership; not to be changed
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
public record LogEntry(long index, long term, Kind kind, byte[] payload) {
    /** Lists what an entry can carry. */
    public enum Kind {
        /** Nothing; a new leader commits one to learn what is committed. */
        NO_OP,
        /** A command for the state machine. */
        COMMAND,
        /** A membership of the group. */
        MEMBERSHIP
    }
}
