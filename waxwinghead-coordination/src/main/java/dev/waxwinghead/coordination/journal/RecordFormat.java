package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Encodes and validates the records of a segment.
 *
 * <p>A record consists of a magic number, the CRC32C of everything after the checksum, the length of the body, the
 * offset up to which the segment was synced when the record was written, and the body. The body is a type byte followed
 * by index, term and payload for an entry, or by term and vote for a hard state. Numbers are big-endian.
 */
final class RecordFormat {
    static final int MAGIC = 0x57485243;

    /** The size of a record before its body, in bytes. */
    static final int PREFIX_BYTES = 4 * Integer.BYTES;

    /** The size of an entry's record without its payload, in bytes. */
    static final int ENTRY_OVERHEAD_BYTES = PREFIX_BYTES + 1 + 2 * Long.BYTES;

    /** The maximum size of a body, in bytes. */
    static final int MAX_BODY_BYTES = 64 << 20;

    static final byte TYPE_NO_OP = 1;
    static final byte TYPE_COMMAND = 2;
    static final byte TYPE_MEMBERSHIP = 3;
    static final byte TYPE_HARD_STATE = 16;

    private static final int CHECKSUMMED_OFFSET = 2 * Integer.BYTES;
    private static final int LENGTH_OFFSET = 2 * Integer.BYTES;
    private static final int SYNCED_OFFSET = 3 * Integer.BYTES;

    private static final int CHECKSUM_OFFSET = Integer.BYTES;

    private RecordFormat() {}

    static int entryBytes(LogEntry entry) {
        return ENTRY_OVERHEAD_BYTES + entry.payload().length;
    }

    static void putEntry(ByteBuffer buffer, LogEntry entry, int syncedOffset) {
        int start = putPrefix(buffer, entryBytes(entry) - PREFIX_BYTES, syncedOffset);
        buffer.put(typeOf(entry.kind()));
        buffer.putLong(entry.index());
        buffer.putLong(entry.term());
        buffer.put(entry.payload());
        putChecksum(buffer, start);
    }

    static int hardStateBytes(HardState state) {
        return PREFIX_BYTES
                + 1
                + Long.BYTES
                + state.votedFor().map(RecordFormat::voteLength).orElse(0);
    }

    static void putHardState(ByteBuffer buffer, HardState state, int syncedOffset) {
        int start = putPrefix(buffer, hardStateBytes(state) - PREFIX_BYTES, syncedOffset);
        buffer.put(TYPE_HARD_STATE);
        buffer.putLong(state.term());
        buffer.put(state.votedFor().map(ReplicaId::value).orElse("").getBytes(StandardCharsets.UTF_8));
        putChecksum(buffer, start);
    }

    /** Returns the length in bytes of the whole record at the offset, or 0 if no valid record is found there. */
    static int validRecordLength(ByteBuffer segment, int offset) {
        int available = segment.limit() - offset;
        if (available < PREFIX_BYTES + 1 || segment.getInt(offset) != MAGIC) {
            return 0;
        }
        int bodyLength = segment.getInt(offset + LENGTH_OFFSET);
        if (bodyLength < 1 || bodyLength > MAX_BODY_BYTES || bodyLength > available - PREFIX_BYTES) {
            return 0;
        }
        int length = PREFIX_BYTES + bodyLength;
        int checksum = checksum(segment, offset + CHECKSUMMED_OFFSET, offset + length);
        return checksum == segment.getInt(offset + CHECKSUM_OFFSET) ? length : 0;
    }

    static int syncedOffset(ByteBuffer segment, int offset) {
        return segment.getInt(offset + SYNCED_OFFSET);
    }

    static int voteLength(ReplicaId vote) {
        return vote.value().getBytes(StandardCharsets.UTF_8).length;
    }

    static Optional<ReplicaId> vote(byte[] text) {
        return text.length == 0
                ? Optional.empty()
                : Optional.of(ReplicaId.of(new String(text, StandardCharsets.UTF_8)));
    }

    private static int putPrefix(ByteBuffer buffer, int bodyLength, int syncedOffset) {
        int start = buffer.position();
        buffer.putInt(MAGIC).putInt(0).putInt(bodyLength).putInt(syncedOffset);
        return start;
    }

    private static void putChecksum(ByteBuffer buffer, int start) {
        buffer.putInt(start + CHECKSUM_OFFSET, checksum(buffer, start + CHECKSUMMED_OFFSET, buffer.position()));
    }

    private static int checksum(ByteBuffer buffer, int from, int to) {
        return Checksums.of(buffer.duplicate().limit(to).position(from));
    }

    private static byte typeOf(LogEntry.Kind kind) {
        return switch (kind) {
            case NO_OP -> TYPE_NO_OP;
            case COMMAND -> TYPE_COMMAND;
            case MEMBERSHIP -> TYPE_MEMBERSHIP;
        };
    }
}
