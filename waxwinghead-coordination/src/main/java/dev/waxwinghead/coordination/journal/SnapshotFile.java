package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.Snapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Reads and writes snapshots, each in a separate file.
 *
 * <p>A file consists of a header of {@value #HEADER_BYTES} bytes (magic number, version, last index, last term, lengths
 * of the membership and the state, CRC32C of everything except the checksum), the membership, and the state.
 */
final class SnapshotFile {
    static final String FILE_NAME_PREFIX = "snapshot-";

    private static final int MAGIC = 0x57485350;
    private static final int VERSION = 1;
    private static final int CHECKSUMMED_HEADER_BYTES = 32;
    private static final int HEADER_BYTES = CHECKSUMMED_HEADER_BYTES + Integer.BYTES;

    private SnapshotFile() {}

    static void write(FileOperations operations, Path folder, Snapshot snapshot) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES)
                .putInt(MAGIC)
                .putInt(VERSION)
                .putLong(snapshot.lastIndex())
                .putLong(snapshot.lastTerm())
                .putInt(snapshot.membership().length)
                .putInt(snapshot.state().length);
        ByteBuffer checksummed = header.duplicate().flip();
        header.putInt(Checksums.of(checksummed, snapshot.membership(), snapshot.state()));
        Path file = folder.resolve(fileName(snapshot.lastIndex()));
        AtomicFiles.write(operations, file, header.array(), snapshot.membership(), snapshot.state());
    }

    /** Reads the newest snapshot; fails if that one is damaged, rather than falling back to an older snapshot. */
    static Optional<Snapshot> readNewest(FileOperations operations, Path folder, List<String> names)
            throws IOException {
        Optional<String> newest =
                names.stream().filter(SnapshotFile::isSnapshot).reduce((older, newer) -> newer);
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        Path file = folder.resolve(newest.get());
        return Optional.of(decode(file, operations.read(file)));
    }

    static void deleteOlder(FileOperations operations, Path folder, long lastIndex) throws IOException {
        for (String name : operations.list(folder)) {
            if (isSnapshot(name) && name.compareTo(fileName(lastIndex)) < 0) {
                operations.delete(folder.resolve(name));
            }
        }
    }

    static boolean isSnapshot(String name) {
        return name.startsWith(FILE_NAME_PREFIX) && !name.endsWith(AtomicFiles.TEMPORARY_SUFFIX);
    }

    private static String fileName(long lastIndex) {
        return String.format(Locale.ROOT, "%s%020d", FILE_NAME_PREFIX, lastIndex);
    }

    private static Snapshot decode(Path file, byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            throw StorageFailures.damaged(file, bytes.length, "the file ends within its header");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        if (header.getInt() != MAGIC || header.getInt() != VERSION) {
            throw StorageFailures.damaged(file, 0, "the file is not a snapshot of format " + VERSION);
        }
        long lastIndex = header.getLong();
        long lastTerm = header.getLong();
        int membershipLength = header.getInt();
        int stateLength = header.getInt();
        int checksum = header.getInt();
        if (membershipLength < 0
                || stateLength < 0
                || (long) HEADER_BYTES + membershipLength + stateLength != bytes.length) {
            throw StorageFailures.damaged(file, bytes.length, "the length of the file does not match its header");
        }
        int stateOffset = HEADER_BYTES + membershipLength;
        byte[] membership = Arrays.copyOfRange(bytes, HEADER_BYTES, stateOffset);
        byte[] state = Arrays.copyOfRange(bytes, stateOffset, bytes.length);
        if (checksum != Checksums.of(ByteBuffer.wrap(bytes, 0, CHECKSUMMED_HEADER_BYTES), membership, state)) {
            throw StorageFailures.damaged(file, 0, "the checksum does not match");
        }
        if (!file.getFileName().toString().equals(fileName(lastIndex))) {
            throw StorageFailures.damaged(
                    file, 0, "the file name does not match the header: the snapshot ends at entry " + lastIndex);
        }
        return new Snapshot(lastIndex, lastTerm, membership, state);
    }
}
