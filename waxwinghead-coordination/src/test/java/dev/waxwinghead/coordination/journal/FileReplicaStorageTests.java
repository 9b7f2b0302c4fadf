package dev.waxwinghead.coordination.journal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ReplicaId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileReplicaStorageTests {
    private static final String CLUSTER = "seating";
    private static final int SMALL_SEGMENT_BYTES = 150;
    private static final HardState VOTED = new HardState(3, Optional.of(ReplicaId.of("r-1")));

    @TempDir
    private Path parent;

    private Path folder;

    @BeforeEach
    void resolveFolder() {
        folder = parent.resolve("data");
    }

    static List<LogEntry> entries(long term, long from, long to) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(index -> new LogEntry(
                        index, term, LogEntry.Kind.COMMAND, ("entry " + index + " of " + term).getBytes(UTF_8)))
                .toList();
    }

    static List<String> texts(List<LogEntry> entries) {
        return entries.stream()
                .map(entry -> entry.index() + ":" + entry.term() + ":" + new String(entry.payload(), UTF_8))
                .toList();
    }

    private FileReplicaStorage open() {
        return FileReplicaStorage.open(folder, CLUSTER);
    }

    private Recovered reopen() {
        try (FileReplicaStorage storage = open()) {
            return storage.recovered();
        }
    }

    private void writeSynced(int segmentBytes, long from, long to) {
        FileOperations files = new DefaultFileOperations();
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, CLUSTER, segmentBytes, files)) {
            storage.writeHardState(VOTED);
            for (long index = from; index <= to; index++) {
                storage.append(entries(3, index, index));
                storage.sync();
            }
        }
    }

    private static Snapshot snapshot(long index, long term) {
        return new Snapshot(index, term, "members".getBytes(UTF_8), ("state " + index).getBytes(UTF_8));
    }

    private Path newestFile(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith(prefix))
                    .max(Path::compareTo)
                    .orElseThrow();
        }
    }

    private WaxwingheadException openExpectingFailure() {
        WaxwingheadException failure = assertThrows(WaxwingheadException.class, this::open);
        assertThat(failure.kind()).isEqualTo(ErrorKind.STORAGE);
        return failure;
    }

    /** Flips a bit in each byte of a file in turn, runs the check each time, and restores the file. */
    private void flipEachByte(Path file, FlipCheck check) throws IOException {
        byte[] content = Files.readAllBytes(file);
        for (int offset = 0; offset < content.length; offset++) {
            byte[] flipped = content.clone();
            flipped[offset] ^= 0x10;
            Files.write(file, flipped);
            check.run(offset);
        }
        Files.write(file, content);
    }

    private interface FlipCheck {
        void run(int offset) throws IOException;
    }

    @Nested
    class Persistence {
        @Test
        void recoversWrittenState() {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);

            Recovered recovered = reopen();

            assertThat(recovered.hardState()).isEqualTo(VOTED);
            assertThat(texts(recovered.entries())).isEqualTo(texts(entries(3, 1, 20)));
        }

        @Test
        void dropsAConflictingTail() {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            try (FileReplicaStorage storage = open()) {
                storage.append(entries(4, 7, 8));
                storage.sync();
            }

            assertThat(texts(reopen().entries()))
                    .isEqualTo(texts(Stream.concat(entries(3, 1, 6).stream(), entries(4, 7, 8).stream())
                            .toList()));
        }

        @Test
        void keepsItsIdentityUntilTheFolderIsEmptied() throws IOException {
            ReplicaId first;
            try (FileReplicaStorage storage = open()) {
                first = storage.replicaId();
                assertThat(storage.isNewlyCreated()).isTrue();
            }
            try (FileReplicaStorage storage = open()) {
                assertThat(storage.replicaId()).isEqualTo(first);
                assertThat(storage.isNewlyCreated()).isFalse();
            }
            for (String name : new DefaultFileOperations().list(folder)) {
                Files.delete(folder.resolve(name));
            }
            try (FileReplicaStorage storage = open()) {
                assertThat(storage.replicaId()).isNotEqualTo(first);
                assertThat(storage.isNewlyCreated()).isTrue();
            }
        }

        @Test
        void refusesASecondOpeningOfTheFolder() {
            try (FileReplicaStorage storage = open()) {
                assertThat(storage.isNewlyCreated()).isTrue();
                assertThat(openExpectingFailure()).hasMessageThat().contains("in use");
            }
        }

        @Test
        void refusesTheFolderOfAnotherCluster() {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 1);

            WaxwingheadException failure =
                    assertThrows(WaxwingheadException.class, () -> FileReplicaStorage.open(folder, "strings"));

            assertThat(failure).hasMessageThat().contains("belongs to cluster 'seating', not to 'strings'");
        }
    }

    @Nested
    class Snapshots {
        @Test
        void replaceTheEntriesTheyContain() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            try (FileReplicaStorage storage = open()) {
                storage.writeSnapshot(snapshot(10, 3));
                storage.writeSnapshot(snapshot(12, 3));
            }

            Recovered recovered = reopen();

            assertThat(recovered.snapshot().orElseThrow().lastIndex()).isEqualTo(12);
            assertThat(recovered.hardState()).isEqualTo(VOTED);
            assertThat(texts(recovered.entries())).isEqualTo(texts(entries(3, 13, 20)));
            List<String> names = new DefaultFileOperations().list(folder);
            assertThat(names.stream().filter(SnapshotFile::isSnapshot)).hasSize(1);
            assertThat(names).doesNotContain("segment-00000000000000000001");
        }

        @Test
        void dropAllEntriesThatTheyContradict() {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            try (FileReplicaStorage storage = open()) {
                storage.writeSnapshot(snapshot(10, 2));
                storage.append(entries(5, 11, 12));
                storage.sync();
            }

            assertThat(texts(reopen().entries())).isEqualTo(texts(entries(5, 11, 12)));
        }

        @Test
        void areRefusedWhenAnyByteIsFlipped() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            try (FileReplicaStorage storage = open()) {
                storage.writeSnapshot(snapshot(12, 3));
            }
            Path file = newestFile(SnapshotFile.FILE_NAME_PREFIX);

            flipEachByte(
                    file,
                    offset ->
                            assertThat(openExpectingFailure()).hasMessageThat().contains(file.toString()));
        }

        @Test
        void areRequiredWhenTheLogBeginsAfterThem() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            try (FileReplicaStorage storage = open()) {
                storage.writeSnapshot(snapshot(12, 3));
            }
            Files.delete(newestFile(SnapshotFile.FILE_NAME_PREFIX));

            assertThat(openExpectingFailure()).hasMessageThat().contains("the snapshot before them is missing");
        }
    }

    @Nested
    class Damage {
        @Test
        void truncatesATornTailAtEveryByte() throws IOException {
            writeSynced(1 << 20, 1, 5);
            Path file = newestFile(SegmentHeader.FILE_NAME_PREFIX);
            int synced = (int) Files.size(file);
            Path mark = folder.resolve(SyncMark.FILE_NAME);
            byte[] syncedMark = Files.readAllBytes(mark);
            try (FileReplicaStorage storage = open()) {
                storage.append(entries(3, 6, 8));
            }
            byte[] content = Files.readAllBytes(file);
            int record = (content.length - synced) / 3;
            for (int length = synced; length < content.length; length++) {
                Files.write(file, Arrays.copyOf(content, length));
                Files.write(mark, syncedMark);

                List<String> kept = texts(reopen().entries());

                assertThat(kept).isEqualTo(texts(entries(3, 1, 5 + (length - synced) / record)));
            }
        }

        @Test
        void refusesASyncedTailThatIsMissing() throws IOException {
            writeSynced(1 << 20, 1, 5);
            Path file = newestFile(SegmentHeader.FILE_NAME_PREFIX);
            byte[] content = Files.readAllBytes(file);
            for (int length = 0; length < content.length; length++) {
                Files.write(file, Arrays.copyOf(content, length));

                assertThat(openExpectingFailure()).hasMessageThat().contains(file.toString());
            }
        }

        @Test
        void refusesAFlippedByteAnywhereInASyncedSegment() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 8);
            for (String name : new DefaultFileOperations().list(folder)) {
                if (SegmentHeader.isSegment(name)) {
                    Path file = folder.resolve(name);
                    flipEachByte(
                            file,
                            offset -> assertThat(openExpectingFailure())
                                    .hasMessageThat()
                                    .containsMatch("\\Q" + file
                                            + "\\E is damaged at byte \\d+.*empty this host's data folder"));
                }
            }
        }

        @Test
        void truncatesOnlyRecordsOfTheLastSyncWhenTheSyncMarkIsLost() throws IOException {
            writeSynced(1 << 20, 1, 5);
            Path file = newestFile(SegmentHeader.FILE_NAME_PREFIX);
            long lastRecordOffset =
                    Files.size(file) - RecordFormat.entryBytes(entries(3, 5, 5).get(0));
            byte[] content = Files.readAllBytes(file);
            flipEachByte(file, offset -> {
                Files.delete(folder.resolve(SyncMark.FILE_NAME));
                if (offset < lastRecordOffset) {
                    openExpectingFailure();
                    Files.write(folder.resolve(SyncMark.FILE_NAME), new byte[0]);
                } else {
                    assertThat(texts(reopen().entries())).isEqualTo(texts(entries(3, 1, 4)));
                }
            });
            assertThat(content).isEqualTo(Files.readAllBytes(file));
        }

        @Test
        void refusesAMissingSegment() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 20);
            Files.delete(newestFile(SegmentHeader.FILE_NAME_PREFIX));

            assertThat(openExpectingFailure()).hasMessageThat().contains("the newest of the log, is missing");
        }

        @Test
        void refusesALogWithoutItsIdentity() throws IOException {
            writeSynced(SMALL_SEGMENT_BYTES, 1, 2);
            flipEachByte(folder.resolve(Identity.FILE_NAME), offset -> openExpectingFailure());
            Files.delete(folder.resolve(Identity.FILE_NAME));

            assertThat(openExpectingFailure()).hasMessageThat().contains("no identity file");
        }
    }

    @Nested
    class Failures {
        private final FaultyFileOperations files =
                new FaultyFileOperations(RandomSource.SPLIT_MIX_64.create(7L), Integer.MAX_VALUE);

        @Test
        void makeLaterOperationsFailAfterAFailedSync() {
            try (FileReplicaStorage storage = FileReplicaStorage.open(folder, CLUSTER, 1 << 20, files)) {
                storage.append(entries(1, 1, 1));
                files.failNextForce();

                WaxwingheadException first = assertThrows(WaxwingheadException.class, storage::sync);
                WaxwingheadException second = assertThrows(WaxwingheadException.class, storage::sync);

                assertThat(first).hasMessageThat().contains("Input/output error; check free space");
                assertThat(second).hasMessageThat().contains("stopped after a failure");
                assertThrows(WaxwingheadException.class, () -> storage.append(entries(1, 2, 2)));
                assertThrows(WaxwingheadException.class, () -> storage.writeHardState(VOTED));
                assertThrows(WaxwingheadException.class, () -> storage.writeSnapshot(snapshot(1, 1)));
            }
        }

        @Test
        void keepSyncedEntriesWhenTheDiskIsFull() {
            try (FileReplicaStorage storage = FileReplicaStorage.open(folder, CLUSTER, 1 << 20, files)) {
                storage.append(entries(1, 1, 3));
                storage.sync();
                files.failAfter(0);
                WaxwingheadException failure =
                        assertThrows(WaxwingheadException.class, () -> storage.append(entries(1, 4, 9)));
                assertThat(failure).hasMessageThat().contains("No space left on device");
            }

            List<String> kept = texts(reopen().entries());

            assertThat(kept).containsAtLeastElementsIn(texts(entries(1, 1, 3))).inOrder();
            assertThat(texts(entries(1, 1, 9))).containsAtLeastElementsIn(kept).inOrder();
        }

        @Test
        void acceptWritesAgainAfterARefusalAtAnyWrite() {
            int segmentOfAFewRecords = 100;
            for (int writes = 0; writes < 12; writes++) {
                Path data = parent.resolve("refused-" + writes);
                try (FileReplicaStorage storage = FileReplicaStorage.open(data, CLUSTER, segmentOfAFewRecords, files)) {
                    long next = 1;
                    files.refuseWritesAfter(writes);
                    while (!isRefused(storage, entries(1, next, next))) {
                        next++;
                    }
                    assertThat(storage.refusesWrites()).isTrue();
                    assertThrows(WaxwingheadException.class, storage::resume);
                    assertThat(storage.refusesWrites()).isTrue();
                    files.refuseWritesAfter(Integer.MAX_VALUE);
                    storage.resume();
                    assertThat(storage.refusesWrites()).isFalse();
                    storage.append(entries(1, next, 30));
                    storage.sync();
                }
                try (FileReplicaStorage reopened = FileReplicaStorage.open(data, CLUSTER)) {
                    assertWithMessage("writes before the refusal: %s", writes)
                            .that(texts(reopened.recovered().entries()))
                            .isEqualTo(texts(entries(1, 1, 30)));
                }
            }
        }

        @Test
        void keepTheLogAfterARefusedSnapshot() {
            try (FileReplicaStorage storage = FileReplicaStorage.open(folder, CLUSTER, 1 << 20, files)) {
                storage.append(entries(1, 1, 3));
                storage.sync();
                files.refuseWritesAfter(0);
                assertThrows(WaxwingheadException.class, () -> storage.writeSnapshot(snapshot(2, 1)));
                files.refuseWritesAfter(Integer.MAX_VALUE);
                storage.resume();
                storage.append(entries(1, 4, 5));
                storage.sync();
            }
            assertThat(texts(reopen().entries())).isEqualTo(texts(entries(1, 1, 5)));
        }

        private static boolean isRefused(FileReplicaStorage storage, List<LogEntry> entries) {
            try {
                storage.append(entries);
                storage.sync();
                return false;
            } catch (WaxwingheadException e) {
                return true;
            }
        }

        @Test
        void keepTheSyncMarkWhenTheDiskIsFullDuringOpening() throws IOException {
            long last = 0;
            for (int syncs = 1; syncs <= 4; syncs++) {
                writeSynced(1 << 20, last + 1, last + syncs);
                last += syncs;
                for (int attempt = 0; attempt < 5; attempt++) {
                    failOpeningAtTheSyncMark();
                    refuseAFlippedLastByte();
                }
            }

            assertThat(texts(reopen().entries())).isEqualTo(texts(entries(3, 1, last)));
        }

        private void failOpeningAtTheSyncMark() {
            int operationsBeforeTheMark = 1;
            files.failAfter(operationsBeforeTheMark);
            WaxwingheadException failure = assertThrows(
                    WaxwingheadException.class, () -> FileReplicaStorage.open(folder, CLUSTER, 1 << 20, files));
            assertThat(failure).hasMessageThat().contains("No space left on device");
        }

        private void refuseAFlippedLastByte() throws IOException {
            Path file = newestFile(SegmentHeader.FILE_NAME_PREFIX);
            byte[] content = Files.readAllBytes(file);
            byte[] flipped = content.clone();
            flipped[flipped.length - 1] ^= 0x10;
            Files.write(file, flipped);
            assertThat(openExpectingFailure()).hasMessageThat().contains(file + " is damaged at byte");
            Files.write(file, content);
        }
    }

    @Test
    void losesNoSyncedStateAfterACrashAtAnyOperation() throws IOException {
        int crashes = 0;
        for (long seed = 1; seed <= 100; seed++) {
            crashes += JournalCrashSimulation.run(parent.resolve("seed-" + seed), seed);
        }
        assertWithMessage("simulated crashes").that(crashes).isAtLeast(500);
    }
}
