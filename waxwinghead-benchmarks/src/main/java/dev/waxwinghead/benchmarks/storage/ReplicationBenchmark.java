package dev.waxwinghead.benchmarks.storage;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.time.Deadline;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the accepted commands per second, their latency and the leader's bytes on the wire and on disk per command,
 * by group size and by the number of commands in flight.
 *
 * <p>All replicas run in this process, with their journals on one disk and TCP over the loopback interface. Argument: a
 * folder on that disk. The exit status is 1 if a bound is missed.
 */
public final class ReplicationBenchmark {
    private static final int[][] VOTERS_AND_LEARNERS = {{3, 0}, {5, 0}, {5, 6}};
    private static final int[] IN_FLIGHT_COMMANDS = {1, 16, 256};
    private static final int COMMAND_BYTES = 200;
    private static final int WARM_UP_COMMANDS = 500;
    private static final Duration MEASURED = Duration.ofSeconds(4);
    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(10);

    /** The maximum time from a change until it is in force, in milliseconds. */
    private static final double MAX_P99_MILLIS = 2_000;

    private ReplicationBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments the folder on the disk to measure
     * @throws IOException if the folder can't be read or written
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        boolean boundsMet = true;
        System.out.println("voters learners  open  commands/s  p50 ms  p99 ms  leader wire out/command  disk/command");
        for (int[] group : VOTERS_AND_LEARNERS) {
            try (ReplicaGroup replicas = ReplicaGroup.start(Path.of(arguments[0]), group[0], group[1])) {
                propose(replicas, 1, WARM_UP_COMMANDS, Long.MAX_VALUE, new ConcurrentHistogram(3));
                for (int inFlight : IN_FLIGHT_COMMANDS) {
                    boundsMet &= measure(replicas, group, inFlight);
                }
            }
        }
        System.out.println(boundsMet ? "bounds kept" : "bounds missed");
        System.exit(boundsMet ? 0 : 1);
    }

    private static boolean measure(ReplicaGroup replicas, int[] group, int inFlight)
            throws IOException, InterruptedException {
        Histogram nanos = new ConcurrentHistogram(3);
        long wire = replicas.leaderNetwork().counters().bytesOut(PeerChannel.CONSENSUS);
        long disk = replicas.leaderDiskBytes();
        long startNanos = System.nanoTime();
        int commands = propose(replicas, inFlight, Integer.MAX_VALUE, MEASURED.toNanos(), nanos);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double p99Millis = nanos.getValueAtPercentile(99) / 1e6;
        System.out.printf(
                Locale.ROOT,
                "%6d %8d %5d %11.0f %7.2f %7.2f %24.0f %13.0f%n",
                group[0],
                group[1],
                inFlight,
                commands / seconds,
                nanos.getValueAtPercentile(50) / 1e6,
                p99Millis,
                (double) (replicas.leaderNetwork().counters().bytesOut(PeerChannel.CONSENSUS) - wire) / commands,
                (double) (replicas.leaderDiskBytes() - disk) / commands);
        return p99Millis <= MAX_P99_MILLIS;
    }

    private static int propose(ReplicaGroup replicas, int inFlight, int count, long durationNanos, Histogram nanos)
            throws InterruptedException {
        Semaphore permits = new Semaphore(inFlight);
        long startNanos = System.nanoTime();
        int proposed = 0;
        while (proposed < count && System.nanoTime() - startNanos < durationNanos) {
            permits.acquire();
            long proposedNanos = System.nanoTime();
            CompletableFuture<byte[]> unused = replicas.leader()
                    .propose(new byte[COMMAND_BYTES], Deadline.after(COMMAND_TIMEOUT, ReplicaGroup.TICKER))
                    .whenComplete((result, failure) -> {
                        nanos.recordValue(System.nanoTime() - proposedNanos);
                        permits.release();
                    });
            proposed++;
        }
        permits.acquire(inFlight);
        return proposed;
    }
}
