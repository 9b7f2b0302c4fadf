package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Operates on real files until a given operation, which fails part-way; all later operations fail as well. */
final class FaultyFileOperations implements FileOperations {
    private final FileOperations files = new DefaultFileOperations();
    private final UniformRandomProvider random;
    private final Map<Path, Long> lengths = new HashMap<>();
    private final Map<Path, Long> forcedLengths = new HashMap<>();
    private int remainingOperations;
    private int remainingWrites = Integer.MAX_VALUE;
    private boolean failForce;

    FaultyFileOperations(UniformRandomProvider random, int remainingOperations) {
        this.random = random;
        this.remainingOperations = remainingOperations;
    }

    void failNextForce() {
        failForce = true;
    }

    void failAfter(int operations) {
        remainingOperations = operations;
    }

    /** Makes writes fail after the given number, the first of them half-way, while all other operations succeed. */
    void refuseWritesAfter(int writes) {
        remainingWrites = writes;
    }

    /** Simulates a power failure: flips a bit in and truncates each file at random offsets past its synced length. */
    void simulatePowerFailure(Path folder) throws IOException {
        files.delete(folder.resolve(SyncMark.FILE_NAME));
        for (String name : files.list(folder)) {
            Path file = folder.resolve(name);
            byte[] bytes = files.read(file);
            int forced = forcedLengths.getOrDefault(file, (long) bytes.length).intValue();
            if (forced < bytes.length) {
                bytes[forced + random.nextInt(bytes.length - forced)] ^= 0x40;
                int length = forced + random.nextInt(bytes.length - forced + 1);
                Files.write(file, Arrays.copyOf(bytes, length));
            }
        }
    }

    private boolean consumeOperation() throws IOException {
        if (remainingOperations < 0) {
            throw new IOException("No space left on device");
        }
        return remainingOperations-- == 0;
    }

    private void applyChange(FileChange change) throws IOException {
        boolean last = consumeOperation();
        if (!last || random.nextBoolean()) {
            change.run();
        }
        if (last) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public List<String> list(Path folder) throws IOException {
        return files.list(folder);
    }

    @Override
    public byte[] read(Path file) throws IOException {
        return files.read(file);
    }

    @Override
    public WritableFile create(Path file) throws IOException {
        return openAt(file, 0);
    }

    @Override
    public WritableFile openAt(Path file, long offset) throws IOException {
        WritableFile delegate = files.openAt(file, offset);
        lengths.put(file, offset);
        return new FaultyFile(file, delegate);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        applyChange(() -> {
            files.rename(from, to);
            lengths.put(to, lengths.get(from));
            forcedLengths.put(to, forcedLengths.get(from));
        });
    }

    @Override
    public void delete(Path file) throws IOException {
        applyChange(() -> files.delete(file));
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        applyChange(() -> files.forceFolder(folder));
    }

    /** A modification of files that may fail. */
    private interface FileChange {
        void run() throws IOException;
    }

    private final class FaultyFile implements WritableFile {
        private final Path file;
        private final WritableFile delegate;

        FaultyFile(Path file, WritableFile delegate) {
            this.file = file;
            this.delegate = delegate;
        }

        @Override
        public void write(byte[] bytes, int length) throws IOException {
            if (remainingWrites-- <= 0) {
                delegate.write(bytes, remainingWrites == -1 ? length / 2 : 0);
                throw new IOException("No space left on device");
            }
            boolean last = consumeOperation();
            int written = last ? random.nextInt(length + 1) : length;
            delegate.write(bytes, written);
            lengths.merge(file, (long) written, Long::sum);
            if (last) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void seek(long offset) throws IOException {
            delegate.seek(offset);
        }

        @Override
        public void force() throws IOException {
            if (failForce) {
                failForce = false;
                throw new IOException("Input/output error");
            }
            applyChange(() -> {
                delegate.force();
                forcedLengths.put(file, lengths.get(file));
            });
        }

        @Override
        public void close() throws IOException {
            delegate.close();
        }
    }
}
