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
 * Keeps a replica's state in memory.
 *
 * <p>A process that uses it must not vote: what it promised is gone when it ends, and it returns as a new replica. Not
 * thread-safe, like every storage.
 *
 * @since 0.1
 */
public final class MemoryStorage implements ReplicaStorage {
    private final ReplicaId replicaId;
    private final boolean createdNow;
    private final Recovered recovered;
    private final List<Runnable> unsynced = new ArrayList<>();
    private final List<LogEntry> entries;
    private HardState hardState;
    private Optional<Snapshot> snapshot;

    private MemoryStorage(ReplicaId replicaId, boolean createdNow, Recovered recovered) {
        this.replicaId = replicaId;
        this.createdNow = createdNow;
        this.recovered = recovered;
        this.entries = new ArrayList<>(recovered.entries());
        this.hardState = recovered.hardState();
        this.snapshot = recovered.snapshot();
    }

    /**
     * Returns an empty storage with a new, random identity.
     *
     * @return the storage, never null
     */
    public static MemoryStorage create() {
        return create(ReplicaId.of(UUID.randomUUID().toString()));
    }

    /**
     * Returns an empty storage.
     *
     * @param replicaId the identity, never used before
     * @return the storage, never null
     */
    public static MemoryStorage create(ReplicaId replicaId) {
        Recovered nothing = new Recovered(HardState.INITIAL, Optional.empty(), List.of());
        return new MemoryStorage(replicaId, true, nothing);
    }

    /**
     * Returns what a restart after a crash would find: the same identity and all that was synced.
     *
     * @return a new storage, never null
     */
    public MemoryStorage reopenedAfterCrash() {
        return new MemoryStorage(replicaId, false, new Recovered(hardState, snapshot, entries));
    }

    @Override
    public ReplicaId replicaId() {
        return replicaId;
    }

    @Override
    public boolean createdNow() {
        return createdNow;
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
            dropFrom(added.get(0).index());
            entries.addAll(added);
        });
    }

    @Override
    public void sync() {
        unsynced.forEach(Runnable::run);
        unsynced.clear();
    }

    @Override
    public void writeSnapshot(Snapshot newest) {
        sync();
        boolean agrees = entries.stream()
                .anyMatch(entry -> entry.index() == newest.lastIndex() && entry.term() == newest.lastTerm());
        if (agrees) {
            entries.removeIf(entry -> entry.index() <= newest.lastIndex());
        } else {
            entries.clear();
        }
        snapshot = Optional.of(newest);
    }

    @Override
    public void close() {}

    private void dropFrom(long index) {
        int keep = entries.size();
        while (keep > 0 && entries.get(keep - 1).index() >= index) {
            keep--;
        }
        entries.subList(keep, entries.size()).clear();
    }
}
