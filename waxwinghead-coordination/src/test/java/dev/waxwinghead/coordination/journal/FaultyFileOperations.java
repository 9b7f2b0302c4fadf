package dev.waxwinghead.coordination.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Touches real files until a chosen operation, which fails half-way, as do all later ones. */
final class FaultyFileOperations implements FileOperations {
    private final FileOperations files = new DefaultFileOperations();
    private final UniformRandomProvider random;
    private final Map<Path, Long> lengths = new HashMap<>();
    private final Map<Path, Long> forcedLengths = new HashMap<>();
    private int operationsLeft;
    private boolean failForce;

    FaultyFileOperations(UniformRandomProvider random, int operationsLeft) {
        this.random = random;
        this.operationsLeft = operationsLeft;
    }

    void failNextForce() {
        failForce = true;
    }

    void failAfter(int operations) {
        operationsLeft = operations;
    }

    /** Does what a power failure may do: cuts or damages each file anywhere past its synced length. */
    void losePower(Path folder) throws IOException {
        files.delete(folder.resolve(SyncMark.FILE));
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

    private boolean spent() throws IOException {
        if (operationsLeft < 0) {
            throw new IOException("No space left on device");
        }
        return operationsLeft-- == 0;
    }

    private void change(Change change) throws IOException {
        boolean last = spent();
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
        WritableFile opened = files.openAt(file, offset);
        lengths.put(file, offset);
        return new FaultyFile(file, opened);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        change(() -> {
            files.rename(from, to);
            lengths.put(to, lengths.get(from));
            forcedLengths.put(to, forcedLengths.get(from));
        });
    }

    @Override
    public void delete(Path file) throws IOException {
        change(() -> files.delete(file));
    }

    @Override
    public void forceFolder(Path folder) throws IOException {
        change(() -> files.forceFolder(folder));
    }

    /** Changes files. */
    private interface Change {
        void run() throws IOException;
    }

    private final class FaultyFile implements WritableFile {
        private final Path file;
        private final WritableFile opened;

        FaultyFile(Path file, WritableFile opened) {
            this.file = file;
            this.opened = opened;
        }

        @Override
        public void write(byte[] bytes, int length) throws IOException {
            boolean last = spent();
            int written = last ? random.nextInt(length + 1) : length;
            opened.write(bytes, written);
            lengths.merge(file, (long) written, Long::sum);
            if (last) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void seek(long offset) throws IOException {
            opened.seek(offset);
        }

        @Override
        public void force() throws IOException {
            if (failForce) {
                failForce = false;
                throw new IOException("Input/output error");
            }
            change(() -> {
                opened.force();
                forcedLengths.put(file, lengths.get(file));
            });
        }

        @Override
        public void close() throws IOException {
            opened.close();
        }
    }
}
