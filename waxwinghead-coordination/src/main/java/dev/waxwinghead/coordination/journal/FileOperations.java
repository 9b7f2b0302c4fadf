package dev.waxwinghead.coordination.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Touches files on behalf of the journal. */
interface FileOperations {
    /** Returns the names of the files in a folder, sorted. */
    List<String> list(Path folder) throws IOException;

    /** Returns a file's whole content. */
    byte[] read(Path file) throws IOException;

    /** Creates an empty file, replacing one of that name. */
    WritableFile create(Path file) throws IOException;

    /** Opens a file for writing at the given offset and cuts off what follows it. */
    WritableFile openAt(Path file, long offset) throws IOException;

    /** Renames a file atomically, replacing one of the new name. */
    void rename(Path from, Path to) throws IOException;

    /** Deletes a file. */
    void delete(Path file) throws IOException;

    /** Makes creations, renames and deletions in a folder last. */
    void forceFolder(Path folder) throws IOException;

    /** Writes to one open file. */
    interface WritableFile extends Closeable {
        /** Writes all bytes at the current position; after a failure any part of them may have been written. */
        void write(byte[] bytes, int length) throws IOException;

        /** Moves the position. */
        void seek(long offset) throws IOException;

        /** Makes all that was written last. */
        void force() throws IOException;
    }
}
