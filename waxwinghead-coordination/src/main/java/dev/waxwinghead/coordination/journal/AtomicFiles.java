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
     * @throws IOException if any step fails; the file may or may not exist
     */
    static void write(FileOperations operations, Path file, byte[]... parts) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (FileOperations.WritableFile output = operations.create(temporary)) {
            for (byte[] part : parts) {
                output.write(part, part.length);
            }
            output.force();
        }
        operations.rename(temporary, file);
        operations.forceFolder(file.getParent());
    }
}
