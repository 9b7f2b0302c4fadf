package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.lifecycle.Closer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Stores the state of a replica in the files of one data folder.
 *
 * <p>The folder contains the replica's identity, a lock file, segments of checksummed records, the newest snapshot, and
 * a mark of the last synced position. The log is append-only: hard states and entries are records of the segments, and
 * a conflicting tail is dropped by creating a new segment that begins at the first conflicting index. Opening truncates
 * a torn tail and fails on any other damage with an error that names the file, the offset and the remedy.
 *
 * <p>If a power failure also loses the sync mark, damage to the records of the last sync can't be distinguished from a
 * torn tail, and these records are truncated. Earlier damage always fails the opening.
 *
 * @since 0.1
 */
public final class FileReplicaStorage implements ReplicaStorage {
    /** The size in bytes at which a segment is closed and a new one is started. */
    static final int DEFAULT_SEGMENT_BYTES = 8 << 20;

    private final FileOperations operations;
    private final Path folder;
    private final int segmentBytes;
    private final Closer closer = Closer.create();
    private Identity identity;
    private boolean isNewlyCreated;
    private Recovered recovered;
    private List<SegmentHeader> segments;
    private LogTerms terms;
    private HardState hardState;
    private long snapshotIndex;
    private SegmentWriter writer;
    private SyncMark syncMark;
    private WaxwingheadException failure;
    /** Whether the failure is a refused write. */
    private boolean refusesWrites;

    private FileReplicaStorage(FileOperations operations, Path folder, int segmentBytes) {
        this.operations = operations;
        this.folder = folder;
        this.segmentBytes = segmentBytes;
    }

    /**
     * Opens a data folder, creating it if it is missing.
     *
     * @param folder the data folder, never null
     * @param cluster the name of the cluster, never null; opening the folder of another cluster fails
     * @return the storage, never null
     * @throws WaxwingheadException of kind {@code STORAGE} if the folder is in use, damaged or can't be written
     */
    public static FileReplicaStorage open(Path folder, String cluster) {
        return open(folder, cluster, DEFAULT_SEGMENT_BYTES, new DefaultFileOperations());
    }

    /**
     * Returns whether an opening failed because the disk refused a write, such as a full disk. A later opening of the
     * same folder may succeed then.
     *
     * @param failure the failure of {@link #open} or {@link BootstrapMark#writeIfFirstStart}, never null
     * @return true if the failure is a refused write
     */
    public static boolean isRefusedWrite(WaxwingheadException failure) {
        return failure.getCause() instanceof RefusedWriteException;
    }

    static FileReplicaStorage open(Path folder, String cluster, int segmentBytes, FileOperations operations) {
        FileReplicaStorage storage = new FileReplicaStorage(operations, folder, segmentBytes);
        try {
            storage.recover(cluster);
            return storage;
        } catch (IOException e) {
            storage.close();
            throw StorageFailures.failed(folder, "open", e);
        } catch (RuntimeException e) {
            storage.close();
            throw e;
        }
    }

    private void recover(String cluster) throws IOException {
        AtomicFiles.createFolder(operations, folder);
        closer.register(FolderLock.acquire(folder));
        deleteTemporaryFiles();
        loadOrCreateIdentity(cluster);
        JournalRecovery recovery = JournalRecovery.read(operations, folder);
        hardState = recovery.hardState();
        terms = recovery.terms();
        segments = new ArrayList<>(recovery.segments());
        snapshotIndex = recovery.snapshot().map(Snapshot::lastIndex).orElse(0L);
        openNewestSegment(recovery);
        syncMark = closer.register(SyncMark.open(operations, folder));
        syncMark.write(writer.sequence(), writer.offset());
        boolean obsolete = recovery.entriesAreObsolete();
        List<LogEntry> entries = obsolete ? List.of() : recovery.entriesAfterSnapshot();
        recovered = new Recovered(hardState, recovery.snapshot(), entries);
        if (obsolete) {
            resetLogAfter(recovery.snapshot().orElseThrow());
        }
        if (recovery.snapshot().isPresent()) {
            deleteObsoleteFiles();
        }
    }

    private void deleteTemporaryFiles() throws IOException {
        for (String name : operations.list(folder)) {
            if (name.endsWith(AtomicFiles.TEMPORARY_SUFFIX)) {
                operations.delete(folder.resolve(name));
            }
        }
    }

    private void loadOrCreateIdentity(String cluster) throws IOException {
        List<String> names = operations.list(folder);
        isNewlyCreated = !names.contains(Identity.FILE_NAME);
        if (isNewlyCreated && names.stream().anyMatch(FileReplicaStorage::isStateFile)) {
            throw StorageFailures.incomplete(folder, "it contains a log but no identity file");
        }
        identity =
                isNewlyCreated ? Identity.createRandom(operations, folder, cluster) : Identity.read(operations, folder);
        if (!identity.cluster().equals(cluster)) {
            throw StorageFailures.otherCluster(folder.resolve(Identity.FILE_NAME), identity.cluster(), cluster);
        }
    }

    private static boolean isStateFile(String name) {
        return SegmentHeader.isSegment(name) || SnapshotFile.isSnapshot(name) || name.equals(SyncMark.FILE_NAME);
    }

    private void openNewestSegment(JournalRecovery recovery) throws IOException {
        if (segments.isEmpty()) {
            SegmentHeader first = new SegmentHeader(1, 1, 0, false, hardState);
            writer = SegmentWriter.create(operations, folder, first);
            segments.add(first);
            return;
        }
        SegmentHeader newest = segments.get(segments.size() - 1);
        writer = SegmentWriter.openAt(operations, folder, newest, recovery.endOffset());
    }

    @Override
    public ReplicaId replicaId() {
        return identity.replica();
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
        if (state.equals(hardState)) {
            checkUsable();
            return;
        }
        run("write to", () -> {
            writer.append(state);
            hardState = state;
        });
    }

    @Override
    public void append(List<LogEntry> entries) {
        checkConsecutive(entries);
        run("write to", () -> {
            rollIfNeeded(entries.get(0).index());
            writer.append(entries);
            entries.forEach(entry -> terms.add(entry.term()));
        });
    }

    private void checkConsecutive(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries is empty");
        }
        long next = entries.get(0).index();
        if (next <= snapshotIndex || next > terms.lastIndex() + 1) {
            throw new IllegalArgumentException("entries begin at index " + next + ", but the stored entries are "
                    + (snapshotIndex + 1) + " to " + terms.lastIndex());
        }
        for (LogEntry entry : entries) {
            if (entry.index() != next) {
                throw new IllegalArgumentException(
                        "entries are not consecutive: found index " + entry.index() + ", expected " + next);
            }
            if (entry.payload().length > RecordFormat.MAX_BODY_BYTES - RecordFormat.ENTRY_OVERHEAD_BYTES) {
                throw new IllegalArgumentException(
                        "payload exceeds the maximum record size: " + entry.payload().length + " bytes");
            }
            next++;
        }
    }

    private void rollIfNeeded(long firstIndex) throws IOException {
        boolean conflict = firstIndex <= terms.lastIndex();
        if (conflict || writer.offset() >= segmentBytes) {
            long previousTerm = terms.termAt(firstIndex - 1).orElseThrow();
            roll(firstIndex, previousTerm, false);
            terms.truncateFrom(firstIndex);
        }
    }

    private void roll(long firstIndex, long previousTerm, boolean reset) throws IOException {
        syncSegment();
        SegmentHeader next = new SegmentHeader(writer.sequence() + 1, firstIndex, previousTerm, reset, hardState);
        SegmentWriter nextWriter = SegmentWriter.create(operations, folder, next);
        writer.close();
        writer = nextWriter;
        segments.add(next);
    }

    @Override
    public void sync() {
        run("sync", this::syncSegment);
    }

    private void syncSegment() throws IOException {
        if (writer.sync()) {
            writeSyncMark();
        }
    }

    /** Writes the sync mark. The synced records are on disk even if that fails, so only the next write is refused. */
    private void writeSyncMark() {
        try {
            syncMark.write(writer.sequence(), writer.offset());
        } catch (IOException e) {
            failure = StorageFailures.failed(folder.resolve(SyncMark.FILE_NAME), "write to", e);
            refusesWrites = true;
        }
    }

    @Override
    public boolean refusesWrites() {
        return refusesWrites;
    }

    @Override
    public void resume() {
        if (refusesWrites) {
            failure = null;
            refusesWrites = false;
            run("write to", () -> {
                deleteTemporaryFiles();
                writer = writer.reopen(operations, folder);
                writer.append(hardState);
                syncSegment();
            });
        }
        checkUsable();
    }

    @Override
    public void writeSnapshot(Snapshot snapshot) {
        if (snapshot.lastIndex() < snapshotIndex) {
            throw new IllegalArgumentException("snapshot ends at index " + snapshot.lastIndex()
                    + ", before the stored snapshot at index " + snapshotIndex);
        }
        run("write a snapshot in the folder of", () -> {
            syncSegment();
            SnapshotFile.write(operations, folder, snapshot);
            snapshotIndex = snapshot.lastIndex();
            if (!JournalRecovery.containsLastEntry(terms, snapshot)) {
                resetLogAfter(snapshot);
            }
            deleteObsoleteFiles();
        });
    }

    private void resetLogAfter(Snapshot snapshot) throws IOException {
        roll(snapshot.lastIndex() + 1, snapshot.lastTerm(), true);
        terms.reset(snapshot.lastIndex(), snapshot.lastTerm());
    }

    /**
     * Deletes older snapshots, and the segments whose entries are all covered by the snapshot or dropped, oldest first.
     */
    private void deleteObsoleteFiles() throws IOException {
        SnapshotFile.deleteOlder(operations, folder, snapshotIndex);
        int kept = segments.size() - 1;
        while (segments.get(kept).firstIndex() > snapshotIndex + 1) {
            kept--;
        }
        List<SegmentHeader> obsolete = segments.subList(0, kept);
        for (SegmentHeader segment : obsolete) {
            operations.delete(folder.resolve(segment.fileName()));
        }
        obsolete.clear();
        operations.forceFolder(folder);
    }

    private void run(String operation, FileAction action) {
        checkUsable();
        try {
            action.run();
        } catch (IOException e) {
            failure = StorageFailures.failed(writer.file(), operation, e);
            refusesWrites = e instanceof RefusedWriteException;
            throw failure;
        }
    }

    private void checkUsable() {
        if (failure != null) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE,
                    "the storage stopped after a failure: " + failure.getMessage(),
                    failure.remedy(),
                    failure);
        }
    }

    @Override
    public void close() {
        if (failure == null) {
            failure = WaxwingheadException.of(ErrorKind.STORAGE, folder + " is closed", "open the storage again");
        }
        refusesWrites = false;
        if (writer != null) {
            closer.register(writer);
            writer = null;
        }
        closer.close();
    }

    /** A file operation that may fail. */
    @FunctionalInterface
    private interface FileAction {
        void run() throws IOException;
    }
}
