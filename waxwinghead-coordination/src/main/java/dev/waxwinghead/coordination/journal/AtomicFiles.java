package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Creates files atomically: after a crash, a file is either complete or absent. */
final class AtomicFiles {
    /** The suffix of the names of files that are still being written. */
    static final String TEMPORARY_SUFFIX = ".tmp";

    private AtomicFiles() {}

    /**
     * Creates a folder and syncs its parent, unless the folder exists already.
     *
     * @throws IOException if any step fails; the folder may or may not exist
     */
    static void createFolder(FileOperations operations, Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(folder);
            operations.forceFolder(folder.toAbsolutePath().getParent());
        }
    }

    /**
     * Writes a file under a temporary name, syncs it, renames it and syncs the folder.
     *
     * @throws RefusedWriteException if the temporary file can't be written; nothing else has changed
     * @throws IOException if a later step fails; the file may or may not exist
     */
    static void write(FileOperations operations, Path file, byte[]... parts) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (FileOperations.WritableFile output = create(operations, temporary)) {
            write(output, parts);
            output.force();
        }
        operations.rename(temporary, file);
        operations.forceFolder(file.getParent());
    }

    private static FileOperations.WritableFile create(FileOperations operations, Path file)
            throws RefusedWriteException {
        try {
            return operations.create(file);
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
    }

    private static void write(FileOperations.WritableFile output, byte[]... parts) throws RefusedWriteException {
        try {
            for (byte[] part : parts) {
                output.write(part, part.length);
            }
        } catch (IOException e) {
            throw new RefusedWriteException(e);
        }
    }
}
