package dev.waxwinghead.coordination.storage;

/**
 * Holds the state up to one entry of the log.
 *
 * @param lastIndex the index of the last entry it contains
 * @param lastTerm the term of that entry
 * @param membership the membership in force at that entry, as an entry's payload
 * @param state the state machine's bytes
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The arrays are shared, never compared.
public record Snapshot(long lastIndex, long lastTerm, byte[] membership, byte[] state) {}
