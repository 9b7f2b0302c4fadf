package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Reads the records of one segment and distinguishes a torn tail from damage.
 *
 * <p>An invalid record is a torn tail only if it lies at or past the offset up to which the segment is known to have
 * been synced. That offset is the highest of the offsets stored in the sync mark and in the valid records after the
 * invalid record. Everything before that offset was acknowledged, so damage there fails the read.
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

    /** Returns a reader after validating the header of the segment. */
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
     * Reads all valid records up to the end or a torn tail.
     *
     * @param visitor the receiver of the records
     * @param syncedOffset the offset in bytes up to which the segment is known to have been synced
     * @return the offset in bytes after the last valid record; any bytes that follow are a torn tail
     */
    int read(RecordVisitor visitor, long syncedOffset) {
        int offset = header.length();
        int length = RecordFormat.validRecordLength(segment, offset);
        while (length > 0) {
            visitRecord(visitor, offset, length);
            offset += length;
            length = RecordFormat.validRecordLength(segment, offset);
        }
        if (offset < Math.max(syncedOffset, syncedOffsetAfter(offset))) {
            throw StorageFailures.damaged(file, offset, "a synced record is missing or its checksum does not match");
        }
        return offset;
    }

    private long syncedOffsetAfter(int damagedOffset) {
        long synced = 0;
        int offset = damagedOffset + 1;
        while (offset < segment.limit()) {
            int length = RecordFormat.validRecordLength(segment, offset);
            if (length > 0) {
                synced = Math.max(synced, RecordFormat.syncedOffset(segment, offset));
            }
            offset += Math.max(1, length);
        }
        return synced;
    }

    private void visitRecord(RecordVisitor visitor, int offset, int length) {
        int body = offset + RecordFormat.PREFIX_BYTES;
        byte type = segment.get(body);
        switch (type) {
            case RecordFormat.TYPE_NO_OP ->
                visitor.visitEntry(file, offset, decodeEntry(LogEntry.Kind.NO_OP, offset, length));
            case RecordFormat.TYPE_COMMAND ->
                visitor.visitEntry(file, offset, decodeEntry(LogEntry.Kind.COMMAND, offset, length));
            case RecordFormat.TYPE_MEMBERSHIP ->
                visitor.visitEntry(file, offset, decodeEntry(LogEntry.Kind.MEMBERSHIP, offset, length));
            case RecordFormat.TYPE_HARD_STATE -> visitor.visitHardState(decodeHardState(offset, length));
            default -> throw StorageFailures.damaged(file, offset, "record type " + type + " is unknown");
        }
    }

    private LogEntry decodeEntry(LogEntry.Kind kind, int offset, int length) {
        if (length < RecordFormat.ENTRY_OVERHEAD_BYTES) {
            throw StorageFailures.damaged(file, offset, "an entry record of " + length + " bytes is too short");
        }
        int body = offset + RecordFormat.PREFIX_BYTES + 1;
        byte[] payload =
                Arrays.copyOfRange(segment.array(), offset + RecordFormat.ENTRY_OVERHEAD_BYTES, offset + length);
        return new LogEntry(segment.getLong(body), segment.getLong(body + Long.BYTES), kind, payload);
    }

    private HardState decodeHardState(int offset, int length) {
        int body = offset + RecordFormat.PREFIX_BYTES + 1;
        byte[] vote = Arrays.copyOfRange(segment.array(), body + Long.BYTES, offset + length);
        return new HardState(segment.getLong(body), RecordFormat.vote(vote));
    }

    /** Receives the records of a segment in file order. */
    interface RecordVisitor {
        void visitEntry(Path file, int offset, LogEntry entry);

        void visitHardState(HardState state);
    }
}
