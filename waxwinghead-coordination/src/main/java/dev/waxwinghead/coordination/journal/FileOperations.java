package dev.waxwinghead.coordination.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Accesses the files of the journal; replaced in tests to inject failures. */
interface FileOperations {
    /** Returns the sorted names of the files in a folder. */
    List<String> list(Path folder) throws IOException;

    /** Returns the complete content of a file. */
    byte[] read(Path file) throws IOException;

    /** Creates an empty file, replacing any existing file of that name. */
    WritableFile create(Path file) throws IOException;

    /** Opens a file for writing at the given offset and truncates the file there, or extends it with zeros. */
    WritableFile openAt(Path file, long offset) throws IOException;

    /** Renames a file atomically, replacing any existing file of the new name. */
    void rename(Path from, Path to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;

    /** Syncs a folder, which makes creations, renames and deletions in it durable. */
    void forceFolder(Path folder) throws IOException;

    /** A file that is open for writing. */
    interface WritableFile extends Closeable {
        /** Writes the first {@code length} bytes at the current position; a failed write may have written any part. */
        void write(byte[] bytes, int length) throws IOException;

        /** Sets the position of the next write. */
        void seek(long offset) throws IOException;

        /** Syncs the file, which makes everything written so far durable. */
        void force() throws IOException;
    }
}
