package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Reads the records of one segment and tells a torn tail from damage.
 *
 * <p>An invalid record is a torn tail only if it lies at or past the offset that is known to have been synced: that of
 * the sync mark, or any that a valid record further on carries. Everything before that offset was acknowledged, and its
 * damage is refused.
 */
final class SegmentReader {
    private final Path file;
    private final ByteBuffer segment;
    private final SegmentHeader header;

    private SegmentReader(Path file, byte[] bytes) {
        this.file = file;
        this.segment = ByteBuffer.wrap(bytes);
        this.header = SegmentHeader.decode(file, bytes);
    }

    /** Checks a segment's header. */
    static SegmentReader of(Path file, byte[] bytes) {
        return new SegmentReader(file, bytes);
    }

    SegmentHeader header() {
        return header;
    }

    int length() {
        return segment.limit();
    }

    /**
     * Reads all records.
     *
     * @param visitor receives the records
     * @param syncedOffset the offset up to which the segment is known to have been synced
     * @return the offset after the last valid record; what follows is a torn tail
     */
    int read(RecordVisitor visitor, long syncedOffset) {
        int offset = header.length();
        int length = RecordFormat.validLength(segment, offset);
        while (length > 0) {
            visit(visitor, offset, length);
            offset += length;
            length = RecordFormat.validLength(segment, offset);
        }
        if (offset < Math.max(syncedOffset, syncedOffsetAfter(offset))) {
            throw StorageFailures.damaged(file, offset, "a record that was synced is missing or fails its checksum");
        }
        return offset;
    }

    private long syncedOffsetAfter(int damage) {
        long synced = 0;
        int offset = damage + 1;
        while (offset < segment.limit()) {
            int length = RecordFormat.validLength(segment, offset);
            if (length > 0) {
                synced = Math.max(synced, RecordFormat.syncedOffset(segment, offset));
            }
            offset += Math.max(1, length);
        }
        return synced;
    }

    private void visit(RecordVisitor visitor, int offset, int length) {
        int body = offset + RecordFormat.PREFIX_BYTES;
        byte type = segment.get(body);
        switch (type) {
            case RecordFormat.TYPE_NO_OP -> visitor.entry(file, offset, entry(LogEntry.Kind.NO_OP, offset, length));
            case RecordFormat.TYPE_COMMAND -> visitor.entry(file, offset, entry(LogEntry.Kind.COMMAND, offset, length));
            case RecordFormat.TYPE_MEMBERSHIP ->
                visitor.entry(file, offset, entry(LogEntry.Kind.MEMBERSHIP, offset, length));
            case RecordFormat.TYPE_HARD_STATE -> visitor.hardState(hardState(offset, length));
            default -> throw StorageFailures.damaged(file, offset, "record type " + type + " is unknown");
        }
    }

    private LogEntry entry(LogEntry.Kind kind, int offset, int length) {
        if (length < RecordFormat.ENTRY_OVERHEAD_BYTES) {
            throw StorageFailures.damaged(file, offset, "an entry of " + length + " bytes is too short");
        }
        int body = offset + RecordFormat.PREFIX_BYTES + 1;
        byte[] payload =
                Arrays.copyOfRange(segment.array(), offset + RecordFormat.ENTRY_OVERHEAD_BYTES, offset + length);
        return new LogEntry(segment.getLong(body), segment.getLong(body + Long.BYTES), kind, payload);
    }

    private HardState hardState(int offset, int length) {
        int body = offset + RecordFormat.PREFIX_BYTES + 1;
        byte[] vote = Arrays.copyOfRange(segment.array(), body + Long.BYTES, offset + length);
        return new HardState(segment.getLong(body), RecordFormat.vote(vote));
    }

    /** Receives the records of a segment in their order. */
    interface RecordVisitor {
        void entry(Path file, int offset, LogEntry entry);

        void hardState(HardState state);
    }
}
