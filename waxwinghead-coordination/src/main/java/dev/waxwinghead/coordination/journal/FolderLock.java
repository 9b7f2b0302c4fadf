package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Locks a data folder for exclusive use by one process. The operating system releases the lock when the process ends.
 */
final class FolderLock implements AutoCloseable {
    static final String FILE_NAME = "lock";

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    static FolderLock acquire(Path folder) {
        Path file = folder.resolve(FILE_NAME);
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (!tryLock(channel)) {
                channel.close();
                throw StorageFailures.locked(file);
            }
            return new FolderLock(channel);
        } catch (IOException e) {
            throw StorageFailures.failed(file, "lock", e);
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
