package dev.waxwinghead.coordination.storage;

/**
 * Holds the state of the state machine at one entry of the log.
 *
 * @param lastIndex the index of the last entry that the state contains
 * @param lastTerm the term of that entry
 * @param membership the membership in force at that entry, encoded as in a {@link LogEntry.Kind#MEMBERSHIP} entry
 * @param state the serialised state of the state machine
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The arrays are shared, never compared.
public record Snapshot(long lastIndex, long lastTerm, byte[] membership, byte[] state) {}
