package dev.waxwinghead.coordination.storage;

/**
 * Represents an entry of the log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that created the entry
 * @param kind the kind of the payload
 * @param payload the command or the encoded membership, not null; must not be modified
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
public record LogEntry(long index, long term, Kind kind, byte[] payload) {
    /** Enumerates the kinds of payload. */
    public enum Kind {
        /** No payload; a new leader commits such an entry to learn up to which index the log is committed. */
        NO_OP,
        /** A command for the state machine. */
        COMMAND,
        /** An encoded membership of the group. */
        MEMBERSHIP
    }
}
