package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Records the offset up to which the newest segment was synced, to distinguish damage to its last records from a torn
 * tail.
 *
 * <p>The mark is written after each sync but not synced itself: the mark survives a crash of the process, but a power
 * failure may revert it by several syncs. The recorded offset is never beyond the synced part. Writes alternate between
 * two slots, so a torn write leaves the other slot intact.
 */
final class SyncMark implements AutoCloseable {
    static final String FILE_NAME = "synced";

    private static final int SLOT_BYTES = 3 * Long.BYTES + Integer.BYTES;
    private static final int SLOT_COUNT = 2;

    private final FileOperations.WritableFile output;
    private long generation;

    private SyncMark(FileOperations.WritableFile output, long generation) {
        this.output = output;
        this.generation = generation;
    }

    /** Opens the mark of the folder, creating it if it is missing; the newest valid slot is kept by the next write. */
    static SyncMark open(FileOperations operations, Path folder) throws IOException {
        long generation = read(operations, folder, operations.list(folder))
                .map(Position::generation)
                .orElse(0L);
        try {
            return new SyncMark(operations.openAt(folder.resolve(FILE_NAME), SLOT_COUNT * SLOT_BYTES), generation);
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
    }

    /** Returns the position of the newest valid slot, empty if there is none. */
    static Optional<Position> read(FileOperations operations, Path folder, List<String> names) throws IOException {
        if (!names.contains(FILE_NAME)) {
            return Optional.empty();
        }
        ByteBuffer slots = ByteBuffer.wrap(operations.read(folder.resolve(FILE_NAME)));
        Optional<Position> newest = Optional.empty();
        for (int start = 0; start + SLOT_BYTES <= slots.limit(); start += SLOT_BYTES) {
            int checksum = slots.getInt(start + 3 * Long.BYTES);
            if (checksum == Checksums.of(slots.array(), start, 3 * Long.BYTES)) {
                newest = newer(newest, position(slots, start));
            }
        }
        return newest;
    }

    void write(long segment, long offset) throws IOException {
        long next = generation + 1;
        ByteBuffer slot =
                ByteBuffer.allocate(SLOT_BYTES).putLong(next).putLong(segment).putLong(offset);
        slot.putInt(Checksums.of(slot.array(), 0, 3 * Long.BYTES));
        output.seek(next % SLOT_COUNT * SLOT_BYTES);
        try {
            output.write(slot.array(), SLOT_BYTES);
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
        generation = next;
    }

    private static Position position(ByteBuffer slots, int start) {
        return new Position(
                slots.getLong(start), slots.getLong(start + Long.BYTES), slots.getLong(start + 2 * Long.BYTES));
    }

    private static Optional<Position> newer(Optional<Position> current, Position other) {
        return current.isPresent() && current.get().generation >= other.generation ? current : Optional.of(other);
    }

    @Override
    public void close() throws IOException {
        output.close();
    }

    /**
     * A position in the log.
     *
     * @param generation the number of the write; increases with each write
     * @param segment the sequence number of the segment
     * @param offset the offset in the segment, in bytes
     */
    record Position(long generation, long segment, long offset) {}
}
