package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Notes up to where the newest segment was synced, so that damage to its last records is told from a torn tail.
 *
 * <p>The note is written after each sync and not synced itself: it outlives the process, but a power failure may set it
 * back by some syncs. It never claims more than was synced. Two slots are written in turn, so a torn write leaves the
 * other.
 */
final class SyncMark implements AutoCloseable {
    static final String FILE = "synced";

    private static final int SLOT_BYTES = 3 * Long.BYTES + Integer.BYTES;
    private static final int SLOTS = 2;

    private final FileOperations.WritableFile opened;
    private long generation;

    private SyncMark(FileOperations.WritableFile opened) {
        this.opened = opened;
    }

    /** Creates an empty mark, replacing the one that was read. */
    static SyncMark create(FileOperations operations, Path folder) throws IOException {
        return new SyncMark(operations.create(folder.resolve(FILE)));
    }

    /** Reads the newest valid slot. */
    static Optional<Position> read(FileOperations operations, Path folder, List<String> names) throws IOException {
        if (!names.contains(FILE)) {
            return Optional.empty();
        }
        ByteBuffer slots = ByteBuffer.wrap(operations.read(folder.resolve(FILE)));
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
        generation++;
        ByteBuffer slot = ByteBuffer.allocate(SLOT_BYTES)
                .putLong(generation)
                .putLong(segment)
                .putLong(offset);
        slot.putInt(Checksums.of(slot.array(), 0, 3 * Long.BYTES));
        opened.seek(generation % SLOTS * SLOT_BYTES);
        opened.write(slot.array(), SLOT_BYTES);
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
        opened.close();
    }

    /**
     * Names a place in the log.
     *
     * @param generation rises with each write
     * @param segment the segment's number
     * @param offset the offset in it, in bytes
     */
    record Position(long generation, long segment, long offset) {}
}
