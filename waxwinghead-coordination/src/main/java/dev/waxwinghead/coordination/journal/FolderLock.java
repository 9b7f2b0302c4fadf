package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Keeps a data folder to one process. The lock ends with the process. */
final class FolderLock implements AutoCloseable {
    static final String FILE = "lock";

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    static FolderLock acquire(Path folder) {
        Path file = folder.resolve(FILE);
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
