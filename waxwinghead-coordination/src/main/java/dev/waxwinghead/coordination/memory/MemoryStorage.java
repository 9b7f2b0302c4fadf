package dev.waxwinghead.coordination.memory;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/**
 * Stores the state of a replica in memory.
 *
 * <p>A replica with this storage must not vote: its vote and its entries are lost when the process ends, and the host
 * rejoins as a new replica. Not thread-safe, like every {@link ReplicaStorage}.
 *
 * @since 0.1
 */
public final class MemoryStorage implements ReplicaStorage {
    private final ReplicaId replicaId;
    private final boolean isNewlyCreated;
    private final Recovered recovered;
    private final List<Runnable> unsynced = new ArrayList<>();
    private final List<LogEntry> entries;
    private HardState hardState;
    private Optional<Snapshot> snapshot;

    private MemoryStorage(ReplicaId replicaId, boolean createdNow, Recovered recovered) {
        this.replicaId = replicaId;
        this.isNewlyCreated = createdNow;
        this.recovered = recovered;
        this.entries = new ArrayList<>(recovered.entries());
        this.hardState = recovered.hardState();
        this.snapshot = recovered.snapshot();
    }

    /**
     * Creates an empty storage with a new, random identity.
     *
     * @return the storage, never null
     */
    public static MemoryStorage create() {
        return create(ReplicaId.of(UUID.randomUUID().toString()));
    }

    /**
     * Creates an empty storage.
     *
     * @param replicaId the identity, not null and never used before
     * @return the storage, never null
     */
    public static MemoryStorage create(ReplicaId replicaId) {
        Recovered empty = new Recovered(HardState.INITIAL, Optional.empty(), List.of());
        return new MemoryStorage(replicaId, true, empty);
    }

    /**
     * Returns a storage as found by a restart after a crash: with the same identity and only the data that was synced.
     *
     * @return a new storage, never null
     */
    public MemoryStorage reopenAfterCrash() {
        return new MemoryStorage(replicaId, false, new Recovered(hardState, snapshot, entries));
    }

    @Override
    public ReplicaId replicaId() {
        return replicaId;
    }

    @Override
    public boolean isNewlyCreated() {
        return isNewlyCreated;
    }

    @Override
    public Recovered recovered() {
        return recovered;
    }

    @Override
    public void writeHardState(HardState state) {
        unsynced.add(() -> hardState = state);
    }

    @Override
    public void append(List<LogEntry> added) {
        unsynced.add(() -> {
            truncateFrom(added.get(0).index());
            entries.addAll(added);
        });
    }

    @Override
    public void sync() {
        unsynced.forEach(Runnable::run);
        unsynced.clear();
    }

    @Override
    public void writeSnapshot(Snapshot replacement) {
        sync();
        boolean holdsLastEntry = entries.stream()
                .anyMatch(entry -> entry.index() == replacement.lastIndex() && entry.term() == replacement.lastTerm());
        if (holdsLastEntry) {
            entries.removeIf(entry -> entry.index() <= replacement.lastIndex());
        } else {
            entries.clear();
        }
        snapshot = Optional.of(replacement);
    }

    @Override
    public void close() {}

    private void truncateFrom(long index) {
        int kept = entries.size();
        while (kept > 0 && entries.get(kept - 1).index() >= index) {
            kept--;
        }
        entries.subList(kept, entries.size()).clear();
    }
}
