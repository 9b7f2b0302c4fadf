package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/**
 * The header at the start of each segment of the log.
 *
 * <p>The header contains the hard state at the creation of the segment, so that older segments can be deleted. The file
 * is created atomically together with its header, so a damaged header is never a torn write.
 *
 * @param sequence the number of the segment; consecutive segments have consecutive numbers
 * @param firstIndex the index of the first entry; entries of earlier segments at and after this index are dropped
 * @param previousTerm the term of the entry before the first entry
 * @param reset whether all entries of earlier segments are dropped
 * @param hardState the hard state when the segment was created
 */
record SegmentHeader(long sequence, long firstIndex, long previousTerm, boolean reset, HardState hardState) {
    static final String FILE_NAME_PREFIX = "segment-";

    private static final int MAGIC = 0x57485347;
    private static final int VERSION = 1;
    private static final int FIXED_FIELD_BYTES = 3 * Integer.BYTES + 4 * Long.BYTES + 1 + Short.BYTES;
    private static final int LENGTH_OFFSET = 2 * Integer.BYTES;
    private static final int MIN_BYTES = FIXED_FIELD_BYTES + Integer.BYTES;

    static boolean isSegment(String name) {
        return name.startsWith(FILE_NAME_PREFIX) && !name.endsWith(AtomicFiles.TEMPORARY_SUFFIX);
    }

    String fileName() {
        return String.format(Locale.ROOT, "%s%020d", FILE_NAME_PREFIX, sequence);
    }

    byte[] encode() {
        byte[] vote = hardState.votedFor().map(ReplicaId::value).orElse("").getBytes(StandardCharsets.UTF_8);
        int length = MIN_BYTES + vote.length;
        ByteBuffer buffer = ByteBuffer.allocate(length)
                .putInt(MAGIC)
                .putInt(VERSION)
                .putInt(length)
                .putLong(sequence)
                .putLong(firstIndex)
                .putLong(previousTerm)
                .putLong(hardState.term())
                .put((byte) (reset ? 1 : 0))
                .putShort((short) vote.length)
                .put(vote);
        return buffer.putInt(Checksums.of(buffer.array(), 0, length - Integer.BYTES))
                .array();
    }

    static SegmentHeader decode(Path file, byte[] bytes) {
        int length = checkedLength(file, bytes);
        ByteBuffer buffer = ByteBuffer.wrap(bytes).position(LENGTH_OFFSET + Integer.BYTES);
        long sequence = buffer.getLong();
        long firstIndex = buffer.getLong();
        long previousTerm = buffer.getLong();
        long term = buffer.getLong();
        boolean reset = buffer.get() == 1;
        byte[] vote = new byte[buffer.getShort()];
        buffer.get(vote);
        HardState hardState = new HardState(term, RecordFormat.vote(vote));
        SegmentHeader header = new SegmentHeader(sequence, firstIndex, previousTerm, reset, hardState);
        if (!file.getFileName().toString().equals(header.fileName()) || header.length() != length) {
            throw StorageFailures.damaged(file, 0, "its name or header length does not match segment " + sequence);
        }
        return header;
    }

    int length() {
        return MIN_BYTES + hardState.votedFor().map(RecordFormat::voteLength).orElse(0);
    }

    private static int checkedLength(Path file, byte[] bytes) {
        if (bytes.length < MIN_BYTES) {
            throw StorageFailures.damaged(file, bytes.length, "the file ends within its header");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (buffer.getInt() != MAGIC || buffer.getInt() != VERSION) {
            throw StorageFailures.damaged(file, 0, "the file is not a segment of format " + VERSION);
        }
        int length = buffer.getInt();
        if (length < MIN_BYTES || length > bytes.length) {
            throw StorageFailures.damaged(file, LENGTH_OFFSET, "the length of the header is invalid");
        }
        int checksum = buffer.getInt(length - Integer.BYTES);
        if (checksum != Checksums.of(bytes, 0, length - Integer.BYTES)) {
            throw StorageFailures.damaged(file, 0, "the checksum of the header does not match");
        }
        return length;
    }
}
