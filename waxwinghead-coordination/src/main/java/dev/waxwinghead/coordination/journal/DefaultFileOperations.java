package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Implements {@link FileOperations} on the default file system.
 *
 * <p>Files are written through {@link RandomAccessFile}, which stays open when the writing thread is interrupted,
 * whereas a {@link FileChannel} would be closed.
 */
final class DefaultFileOperations implements FileOperations {
    @Override
    public List<String> list(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public byte[] read(Path file) throws IOException {
        return Files.readAllBytes(file);
    }

    @Override
    public WritableFile create(Path file) throws IOException {
        return openAt(file, 0);
    }

    @Override
    public WritableFile openAt(Path file, long offset) throws IOException {
        RandomAccessFile randomAccessFile = new RandomAccessFile(file.toFile(), "rw");
        try {
            randomAccessFile.setLength(offset);
            randomAccessFile.seek(offset);
            return new DefaultWritableFile(randomAccessFile);
        } catch (IOException e) {
            randomAccessFile.close();
            throw e;
        }
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private record DefaultWritableFile(RandomAccessFile file) implements WritableFile {
        @Override
        public void write(byte[] bytes, int length) throws IOException {
            file.write(bytes, 0, length);
        }

        @Override
        public void seek(long offset) throws IOException {
            file.seek(offset);
        }

        @Override
        public void force() throws IOException {
            file.getFD().sync();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
