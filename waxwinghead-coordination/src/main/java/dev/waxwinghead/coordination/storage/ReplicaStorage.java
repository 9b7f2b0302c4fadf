package dev.waxwinghead.coordination.storage;

import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * Keeps a replica's identity, hard state, entries and newest snapshot.
 *
 * <p>One thread at a time uses a storage. What was written counts only after {@link #sync()} has returned; before that
 * a crash may take any of it away, but never makes a later part last without the earlier ones. After a failed sync
 * every later call fails: a file system may report a write error once only. All failures are
 * {@link dev.waxwinghead.model.error.WaxwingheadException}s of kind {@code STORAGE}.
 *
 * @since 0.1
 */
public interface ReplicaStorage extends AutoCloseable {
    /**
     * Returns the identity of the replica. A new, random one is made and synced when the storage is empty.
     *
     * @return the id, never null
     */
    ReplicaId replicaId();

    /**
     * Tells whether the storage was empty when it was opened.
     *
     * @return true if the identity was made by this opening
     */
    boolean createdNow();

    /**
     * Returns what was found when the storage was opened.
     *
     * @return the recovered state, never null
     */
    Recovered recovered();

    /**
     * Writes the hard state.
     *
     * @param state the new hard state
     */
    void writeHardState(HardState state);

    /**
     * Writes entries. Where the first index is not past the last stored one, the stored entries from there on are
     * dropped first.
     *
     * @param entries consecutive entries, not empty
     */
    void append(List<LogEntry> entries);

    /** Makes all that was written so far last. */
    void sync();

    /**
     * Replaces the snapshot and drops the entries that it contains. Lasts when the call returns. Where the snapshot
     * goes past the stored entries or contradicts them, all entries are dropped.
     *
     * @param snapshot the new snapshot
     */
    void writeSnapshot(Snapshot snapshot);

    @Override
    void close();

    /**
     * Holds what a storage found on opening.
     *
     * @param hardState the hard state
     * @param snapshot the newest snapshot, if there is one
     * @param entries the entries after the snapshot, consecutive
     */
    record Recovered(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {
        /** Copies the entries. */
        public Recovered {
            entries = List.copyOf(entries);
        }
    }
}
