package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** Appends records to the newest segment. */
final class SegmentWriter implements AutoCloseable {
    private static final int KEPT_BUFFER_BYTES = 1 << 20;

    private final Path file;
    private final SegmentHeader header;
    private final FileOperations.WritableFile opened;
    private ByteBuffer buffer = ByteBuffer.allocate(1 << 12);
    private int offset;
    private int syncedOffset;

    private SegmentWriter(Path file, SegmentHeader header, FileOperations.WritableFile opened, int offset) {
        this.file = file;
        this.header = header;
        this.opened = opened;
        this.offset = offset;
        this.syncedOffset = offset;
    }

    /** Creates a segment that lasts when the call returns. */
    static SegmentWriter create(FileOperations operations, Path folder, SegmentHeader header) throws IOException {
        Path file = folder.resolve(header.fileName());
        AtomicFiles.write(operations, file, header.encode());
        return new SegmentWriter(file, header, operations.openAt(file, header.length()), header.length());
    }

    /** Opens a segment, cuts it at the offset and syncs the rest. */
    static SegmentWriter openAt(FileOperations operations, Path folder, SegmentHeader header, int offset)
            throws IOException {
        Path file = folder.resolve(header.fileName());
        FileOperations.WritableFile opened = operations.openAt(file, offset);
        opened.force();
        return new SegmentWriter(file, header, opened, offset);
    }

    Path file() {
        return file;
    }

    long sequence() {
        return header.sequence();
    }

    int offset() {
        return offset;
    }

    void append(List<LogEntry> entries) throws IOException {
        int bytes = entries.stream().mapToInt(RecordFormat::entryBytes).reduce(0, Math::addExact);
        reserve(bytes);
        for (LogEntry entry : entries) {
            RecordFormat.putEntry(buffer, entry, syncedOffset);
        }
        flush();
    }

    void append(HardState state) throws IOException {
        reserve(RecordFormat.hardStateBytes(state));
        RecordFormat.putHardState(buffer, state, syncedOffset);
        flush();
    }

    /** Syncs the segment; returns false if nothing was written since the last time. */
    boolean sync() throws IOException {
        if (syncedOffset == offset) {
            return false;
        }
        opened.force();
        syncedOffset = offset;
        return true;
    }

    private void reserve(int bytes) {
        if (buffer.capacity() < bytes || (buffer.capacity() > KEPT_BUFFER_BYTES && bytes < KEPT_BUFFER_BYTES)) {
            buffer = ByteBuffer.allocate(bytes);
        }
        buffer.clear();
    }

    private void flush() throws IOException {
        opened.write(buffer.array(), buffer.position());
        offset = Math.addExact(offset, buffer.position());
    }

    @Override
    public void close() throws IOException {
        opened.close();
    }
}
