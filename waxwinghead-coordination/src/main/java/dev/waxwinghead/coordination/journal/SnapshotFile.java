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
 * Reads and writes snapshots, one file each.
 *
 * <p>A file holds a header of {@value #HEADER_BYTES} bytes (magic, version, last index, last term, lengths of the
 * membership and the state, CRC32C of all but itself), then the membership, then the state.
 */
final class SnapshotFile {
    static final String PREFIX = "snapshot-";

    private static final int MAGIC = 0x57485350;
    private static final int VERSION = 1;
    private static final int CHECKED_HEADER_BYTES = 32;
    private static final int HEADER_BYTES = CHECKED_HEADER_BYTES + Integer.BYTES;

    private SnapshotFile() {}

    static void write(FileOperations operations, Path folder, Snapshot snapshot) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES)
                .putInt(MAGIC)
                .putInt(VERSION)
                .putLong(snapshot.lastIndex())
                .putLong(snapshot.lastTerm())
                .putInt(snapshot.membership().length)
                .putInt(snapshot.state().length);
        ByteBuffer checked = header.duplicate().flip();
        header.putInt(Checksums.of(checked, snapshot.membership(), snapshot.state()));
        Path file = folder.resolve(name(snapshot.lastIndex()));
        AtomicFiles.write(operations, file, header.array(), snapshot.membership(), snapshot.state());
    }

    /** Reads the newest snapshot; an older one never stands in for a damaged newer one. */
    static Optional<Snapshot> readNewest(FileOperations operations, Path folder, List<String> names)
            throws IOException {
        Optional<String> newest =
                names.stream().filter(SnapshotFile::isSnapshot).reduce((older, newer) -> newer);
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        Path file = folder.resolve(newest.get());
        return Optional.of(parse(file, operations.read(file)));
    }

    static void deleteOlder(FileOperations operations, Path folder, long lastIndex) throws IOException {
        for (String name : operations.list(folder)) {
            if (isSnapshot(name) && name.compareTo(name(lastIndex)) < 0) {
                operations.delete(folder.resolve(name));
            }
        }
    }

    static boolean isSnapshot(String name) {
        return name.startsWith(PREFIX) && !name.endsWith(AtomicFiles.TEMPORARY);
    }

    private static String name(long lastIndex) {
        return String.format(Locale.ROOT, "%s%020d", PREFIX, lastIndex);
    }

    private static Snapshot parse(Path file, byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            throw StorageFailures.damaged(file, bytes.length, "it ends inside its header");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        if (header.getInt() != MAGIC || header.getInt() != VERSION) {
            throw StorageFailures.damaged(file, 0, "it is not a snapshot of format " + VERSION);
        }
        long lastIndex = header.getLong();
        long lastTerm = header.getLong();
        int membershipLength = header.getInt();
        int stateLength = header.getInt();
        int checksum = header.getInt();
        if (membershipLength < 0
                || stateLength < 0
                || (long) HEADER_BYTES + membershipLength + stateLength != bytes.length) {
            throw StorageFailures.damaged(file, bytes.length, "its length does not match its header");
        }
        int stateOffset = HEADER_BYTES + membershipLength;
        byte[] membership = Arrays.copyOfRange(bytes, HEADER_BYTES, stateOffset);
        byte[] state = Arrays.copyOfRange(bytes, stateOffset, bytes.length);
        if (checksum != Checksums.of(ByteBuffer.wrap(bytes, 0, CHECKED_HEADER_BYTES), membership, state)) {
            throw StorageFailures.damaged(file, 0, "its checksum does not match");
        }
        if (!file.getFileName().toString().equals(name(lastIndex))) {
            throw StorageFailures.damaged(file, 0, "it holds the snapshot of entry " + lastIndex);
        }
        return new Snapshot(lastIndex, lastTerm, membership, state);
    }
}
