package dev.waxwinghead.coordination.storage;

import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * Stores the identity, hard state, log entries and newest snapshot of a replica.
 *
 * <p>A storage is used by one thread at a time. Writes are durable only after {@link #sync()} has returned. Before
 * that, a crash may lose any suffix of the writes, but never an earlier write without the later ones. After a failed
 * sync every later call fails, because a file system may report a write error only once. After a refused write, such as
 * on a full disk, every later call fails until {@link #resume()} succeeds. All failures are
 * {@link dev.waxwinghead.model.error.WaxwingheadException}s of kind {@code STORAGE}.
 *
 * @since 0.1
 */
public interface ReplicaStorage extends AutoCloseable {
    /**
     * Returns the identity of the replica. An empty storage creates and syncs a new, random identity when it is opened.
     *
     * @return the id, never null
     */
    ReplicaId replicaId();

    /**
     * Returns whether the storage was empty when it was opened.
     *
     * @return true if the identity was created by this opening
     */
    boolean isNewlyCreated();

    /**
     * Returns the state found when the storage was opened.
     *
     * @return the recovered state, never null
     */
    Recovered recovered();

    /**
     * Writes the hard state.
     *
     * @param state the new hard state, not null
     */
    void writeHardState(HardState state);

    /**
     * Appends entries. If the first index is not higher than the last stored index, the stored entries from that index
     * on are removed first.
     *
     * @param entries consecutive entries, not empty
     */
    void append(List<LogEntry> entries);

    /** Makes all writes so far durable. */
    void sync();

    /**
     * Replaces the snapshot and removes the entries that it contains. The snapshot is durable when the call returns. If
     * the snapshot ends after the last stored entry or conflicts with the stored entries, all entries are removed.
     *
     * @param snapshot the new snapshot, not null
     */
    void writeSnapshot(Snapshot snapshot);

    /**
     * Returns whether the last failure was a refused write, which left everything stored before intact.
     *
     * @return true if {@link #resume()} may make the storage usable again
     */
    default boolean refusesWrites() {
        return false;
    }

    /**
     * Makes the storage usable again after a refused write, if a write and a sync succeed now.
     *
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the storage remains unusable;
     *     {@link #refusesWrites()} returns whether a later call may succeed
     */
    default void resume() {}

    @Override
    void close();

    /**
     * Holds the state found when a storage was opened.
     *
     * @param hardState the hard state
     * @param snapshot the newest snapshot, empty if none was stored
     * @param entries the entries after the snapshot, consecutive
     */
    record Recovered(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {
        /** Creates a recovered state with an unmodifiable copy of the entries. */
        public Recovered {
            entries = List.copyOf(entries);
        }
    }
}
