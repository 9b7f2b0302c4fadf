package dev.waxwinghead.benchmarks.storage;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Measures the entries per second, the time of a synced batch and the bytes on disk per entry, by batch size.
 *
 * <p>Argument: a folder on the disk to measure. The exit status is 1 if a bound is missed.
 */
public final class JournalBenchmark {
    private static final int PAYLOAD_BYTES = 200;
    private static final int[] BATCH_SIZES = {1, 8, 64, 512};
    private static final long WARM_UP_NANOS = 1_000_000_000L;
    private static final long MEASURED_NANOS = 3_000_000_000L;

    /** The maximum size of an entry on disk beyond its payload, in bytes. */
    private static final double MAX_OVERHEAD_BYTES = 40;

    /** The peak load of the log: 1,700 task starts per second with three entries each. */
    private static final double MIN_ENTRIES_PER_SECOND = 5_100;

    /** The smallest batch size to which the bound on entries per second applies. */
    private static final int MIN_RATE_BOUND_BATCH_SIZE = 64;

    private JournalBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments the folder on the disk to measure
     * @throws IOException if the folder can't be read or written
     */
    public static void main(String[] arguments) throws IOException {
        Path parent = Path.of(arguments[0]);
        System.out.println("batch  entries/s  syncs/s  p50 ms  p99 ms  disk bytes/entry");
        boolean boundsMet = true;
        for (int batchSize : BATCH_SIZES) {
            Path folder = Files.createTempDirectory(parent, "journal-benchmark-");
            boundsMet &= run(folder, batchSize);
            delete(folder);
        }
        System.out.println(boundsMet ? "bounds kept" : "bounds missed");
        System.exit(boundsMet ? 0 : 1);
    }

    private static boolean run(Path folder, int batchSize) throws IOException {
        Histogram nanos = new Histogram(3);
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "benchmark")) {
            long next = append(storage, 1, batchSize, WARM_UP_NANOS, new Histogram(3));
            long bytesBefore = folderBytes(folder);
            long startNanos = System.nanoTime();
            long end = append(storage, next, batchSize, MEASURED_NANOS, nanos);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            double bytesPerEntry = (double) (folderBytes(folder) - bytesBefore) / (end - next);
            double entriesPerSecond = (end - next) / seconds;
            System.out.printf(
                    Locale.ROOT,
                    "%5d %10.0f %8.0f %7.2f %7.2f %17.1f%n",
                    batchSize,
                    entriesPerSecond,
                    nanos.getTotalCount() / seconds,
                    nanos.getValueAtPercentile(50) / 1e6,
                    nanos.getValueAtPercentile(99) / 1e6,
                    bytesPerEntry);
            return bytesPerEntry <= PAYLOAD_BYTES + MAX_OVERHEAD_BYTES
                    && (batchSize < MIN_RATE_BOUND_BATCH_SIZE || entriesPerSecond >= MIN_ENTRIES_PER_SECOND);
        }
    }

    private static long append(
            FileReplicaStorage storage, long first, int batchSize, long durationNanos, Histogram nanos) {
        long index = first;
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < durationNanos) {
            List<LogEntry> batch = new ArrayList<>();
            for (int i = 0; i < batchSize; i++) {
                batch.add(new LogEntry(index++, 1, LogEntry.Kind.COMMAND, new byte[PAYLOAD_BYTES]));
            }
            long batchStartNanos = System.nanoTime();
            storage.append(batch);
            storage.sync();
            nanos.recordValue(System.nanoTime() - batchStartNanos);
        }
        return index;
    }

    private static long folderBytes(Path folder) throws IOException {
        long sum = 0;
        for (Path file : files(folder)) {
            sum += Files.size(file);
        }
        return sum;
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).toList();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
