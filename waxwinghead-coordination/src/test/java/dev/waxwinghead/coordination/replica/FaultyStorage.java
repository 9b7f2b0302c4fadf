package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Delegates to another storage, but can block or fail its syncs. */
final class FaultyStorage implements ReplicaStorage {
    private final ReplicaStorage storage;
    private volatile CountDownLatch syncGate = new CountDownLatch(0);
    private volatile boolean failingSyncs;
    private volatile boolean refusingWrites;
    /** Whether a write was refused since the last resumption. */
    private boolean writeRefused;

    private volatile Error syncError;

    FaultyStorage(ReplicaStorage storage) {
        this.storage = storage;
    }

    void holdSyncs() {
        syncGate = new CountDownLatch(1);
    }

    void releaseSyncs() {
        syncGate.countDown();
    }

    void failSyncs() {
        failingSyncs = true;
    }

    void refuseWrites(boolean refuse) {
        refusingWrites = refuse;
    }

    void failSyncsWith(Error error) {
        syncError = error;
    }

    @Override
    public ReplicaId replicaId() {
        return storage.replicaId();
    }

    @Override
    public boolean isNewlyCreated() {
        return storage.isNewlyCreated();
    }

    @Override
    public Recovered recovered() {
        return storage.recovered();
    }

    @Override
    public void writeHardState(HardState state) {
        checkAccepted();
        storage.writeHardState(state);
    }

    @Override
    public void append(List<LogEntry> entries) {
        checkAccepted();
        storage.append(entries);
    }

    @Override
    public void sync() {
        try {
            syncGate.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        if (failingSyncs) {
            throw WaxwingheadException.of(ErrorKind.STORAGE, "sync of segment-1 failed", "replace the disk");
        }
        if (syncError != null) {
            throw syncError;
        }
        storage.sync();
    }

    @Override
    public void writeSnapshot(Snapshot snapshot) {
        checkAccepted();
        storage.writeSnapshot(snapshot);
    }

    @Override
    public boolean refusesWrites() {
        return writeRefused;
    }

    @Override
    public void resume() {
        if (!refusingWrites) {
            writeRefused = false;
        }
        checkAccepted();
    }

    private void checkAccepted() {
        writeRefused |= refusingWrites;
        if (writeRefused) {
            throw WaxwingheadException.of(ErrorKind.STORAGE, "no space left on segment-1", "free space on the disk");
        }
    }

    @Override
    public void close() {
        storage.close();
    }
}
