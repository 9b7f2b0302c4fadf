package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Marks a data folder whose host may take part in forming a new replica group.
 *
 * <p>Hosts are started with the first-start setting only once. If a host stops before the group is formed, its next
 * start no longer has that setting, and without the mark no host could form the group any more. The mark is lost
 * together with the folder, so a host that lost its disk cannot form a group.
 *
 * @since 0.2
 */
public final class BootstrapMark {
    static final String FILE_NAME = "founder";

    private BootstrapMark() {}

    /**
     * Returns whether the host of a data folder may take part in forming a group, and writes the mark at a first start.
     * Must be called before the storage of the folder is opened.
     *
     * @param folder the data folder, never null; created if the mark is written
     * @param firstStart whether the settings declare this to be the first start of all hosts
     * @return true at a first start and at every later start with the same folder
     * @throws WaxwingheadException of kind {@code STORAGE} if the mark can't be written
     */
    public static boolean writeIfFirstStart(Path folder, boolean firstStart) {
        Path file = folder.resolve(FILE_NAME);
        if (Files.exists(file)) {
            return true;
        }
        if (firstStart) {
            write(file);
        }
        return firstStart;
    }

    private static void write(Path file) {
        FileOperations operations = new DefaultFileOperations();
        try {
            AtomicFiles.createFolder(operations, file.getParent());
            AtomicFiles.write(operations, file);
        } catch (IOException e) {
            throw StorageFailures.failed(file, "write", e);
        }
    }
}
