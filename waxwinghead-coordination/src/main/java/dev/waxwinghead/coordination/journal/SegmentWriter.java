package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** Appends records to the newest segment. */
final class SegmentWriter implements AutoCloseable {
    /** The maximum size of a buffer that is kept for later, smaller writes, in bytes. */
    private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 20;

    private final Path file;
    private final SegmentHeader header;
    private final FileOperations.WritableFile output;
    private ByteBuffer buffer = ByteBuffer.allocate(1 << 12);
    private int offset;
    private int syncedOffset;

    private SegmentWriter(Path file, SegmentHeader header, FileOperations.WritableFile output, int offset) {
        this.file = file;
        this.header = header;
        this.output = output;
        this.offset = offset;
        this.syncedOffset = offset;
    }

    /** Creates a segment, which is durable when this method returns. */
    static SegmentWriter create(FileOperations operations, Path folder, SegmentHeader header) throws IOException {
        Path file = folder.resolve(header.fileName());
        AtomicFiles.write(operations, file, header.encode());
        return new SegmentWriter(file, header, operations.openAt(file, header.length()), header.length());
    }

    /** Opens a segment, truncates it at the offset and syncs the remaining part. */
    static SegmentWriter openAt(FileOperations operations, Path folder, SegmentHeader header, int offset)
            throws IOException {
        Path file = folder.resolve(header.fileName());
        FileOperations.WritableFile output = openAt(operations, file, offset);
        output.force();
        return new SegmentWriter(file, header, output, offset);
    }

    private static FileOperations.WritableFile openAt(FileOperations operations, Path file, int offset)
            throws RefusedWriteException {
        try {
            return operations.openAt(file, offset);
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
    }

    /** Returns a writer that continues after the last complete record, and closes this one. */
    SegmentWriter reopen(FileOperations operations, Path folder) throws IOException {
        SegmentWriter reopened = openAt(operations, folder, header, offset);
        close();
        return reopened;
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
        prepareBuffer(bytes);
        for (LogEntry entry : entries) {
            RecordFormat.putEntry(buffer, entry, syncedOffset);
        }
        flush();
    }

    void append(HardState state) throws IOException {
        prepareBuffer(RecordFormat.hardStateBytes(state));
        RecordFormat.putHardState(buffer, state, syncedOffset);
        flush();
    }

    /** Syncs the segment; returns false if nothing was written since the last sync. */
    boolean sync() throws IOException {
        if (syncedOffset == offset) {
            return false;
        }
        output.force();
        syncedOffset = offset;
        return true;
    }

    private void prepareBuffer(int bytes) {
        if (buffer.capacity() < bytes
                || (buffer.capacity() > MAX_RETAINED_BUFFER_BYTES && bytes < MAX_RETAINED_BUFFER_BYTES)) {
            buffer = ByteBuffer.allocate(bytes);
        }
        buffer.clear();
    }

    private void flush() throws IOException {
        try {
            output.write(buffer.array(), buffer.position());
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
        offset = Math.addExact(offset, buffer.position());
    }

    @Override
    public void close() throws IOException {
        output.close();
    }
}
