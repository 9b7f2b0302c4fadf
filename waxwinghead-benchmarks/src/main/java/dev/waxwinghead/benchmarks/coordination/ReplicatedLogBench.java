package dev.waxwinghead.benchmarks.coordination;

import dev.waxwinghead.benchmarks.coordination.BenchGroup.Member;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Runs one measurement of the replicated log: {@code failover}, {@code throughput}, {@code in-force} or {@code state}.
 *
 * <p>The exit status is 1 if a result exceeds its bound.
 */
public final class ReplicatedLogBench {
    private static final int ENTRY_BYTES = 200;
    private static final int FAILOVER_ROUNDS = 15;
    private static final int IN_FORCE_CHANGES = 2_300;
    private static final int IN_FORCE_INTERVAL_MILLIS = 4;
    private static final int DEFAULT_STATE_ENTRIES = 50_000;
    private static final long UNREACHED_SNAPSHOT_INTERVAL = Long.MAX_VALUE;
    private static final Duration FAILOVER_BOUND = Duration.ofSeconds(3);
    private static final Duration IN_FORCE_BOUND = Duration.ofSeconds(2);
    private static final PrintStream OUT = System.out;

    private static boolean boundExceeded;

    private ReplicatedLogBench() {}

    /**
     * Runs one measurement.
     *
     * @param arguments the name of the measurement; for {@code state} optionally the number of entries to write before
     *     the snapshot, twice the number that the snapshot holds
     * @throws Exception if the measurement fails
     */
    public static void main(String[] arguments) throws Exception {
        switch (arguments[0]) {
            case "failover" -> failover();
            case "throughput" -> throughput();
            case "in-force" -> inForce();
            case "state" -> state(arguments.length > 1 ? Integer.parseInt(arguments[1]) : DEFAULT_STATE_ENTRIES);
            default ->
                throw new IllegalArgumentException(
                        "measurement must be failover, throughput, in-force or state, got " + arguments[0]);
        }
        System.exit(boundExceeded ? 1 : 0);
    }

    private static void failover() throws IOException {
        Histogram millis = new Histogram(3);
        try (BenchGroup group = BenchGroup.start(3, 2, UNREACHED_SNAPSHOT_INTERVAL)) {
            for (int round = 0; round < FAILOVER_ROUNDS; round++) {
                propose(group.leader(), round).join();
                HostId leader = group.leader().host();
                long start = System.nanoTime();
                group.stopHost(leader);
                proposeUntilAccepted(group.members().get(0), round);
                millis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
                group.startHost(leader);
            }
        }
        printResult("failover until the next acknowledged change, ms", millis, FAILOVER_BOUND);
    }

    private static void proposeUntilAccepted(Member member, long number) {
        while (true) {
            try {
                propose(member, number).join();
                return;
            } catch (CompletionException e) {
                OUT.println("retrying after " + WaxwingheadException.from(e).kind());
            }
        }
    }

    private static void throughput() throws IOException {
        OUT.println("voters learners in-flight entries/s entries/sync wire-B/entry disk-B/entry");
        for (int[] size : new int[][] {{3, 0}, {5, 0}, {3, 4}, {3, 8}}) {
            for (int window : new int[] {1, 16, 256}) {
                throughput(size[0], size[1], window);
            }
        }
    }

    private static void throughput(int voters, int learners, int window) throws IOException {
        int entries = window == 1 ? 1_000 : 10_000;
        try (BenchGroup group = BenchGroup.start(voters, learners, UNREACHED_SNAPSHOT_INTERVAL)) {
            Member leader = group.leader();
            proposeAll(leader, 1_000, Math.max(16, window));
            long wire = group.sentBytes();
            long disk = group.diskBytes(leader.host());
            long syncs = leader.node().counters().syncs();
            long start = System.nanoTime();
            proposeAll(leader, entries, window);
            double seconds = (System.nanoTime() - start) / 1e9;
            OUT.printf(
                    Locale.ROOT,
                    "%d %d %d %.0f %.1f %.0f %.0f%n",
                    voters,
                    learners,
                    window,
                    entries / seconds,
                    (double) entries / (leader.node().counters().syncs() - syncs),
                    (double) (group.sentBytes() - wire) / entries,
                    (double) (group.diskBytes(leader.host()) - disk) / entries);
        }
    }

    private static void proposeAll(Member member, int entries, int window) {
        Deque<CompletableFuture<byte[]>> inFlight = new ArrayDeque<>();
        for (int i = 0; i < entries; i++) {
            if (inFlight.size() == window) {
                inFlight.remove().join();
            }
            inFlight.add(propose(member, i));
        }
        inFlight.forEach(CompletableFuture::join);
    }

    private static void inForce() throws IOException, InterruptedException {
        Histogram micros = new Histogram(3);
        try (BenchGroup group = BenchGroup.start(3, 6, 500)) {
            List<Member> members = group.members();
            long[] sent = new long[IN_FORCE_CHANGES];
            for (int i = 0; i < IN_FORCE_CHANGES; i++) {
                sent[i] = System.nanoTime();
                propose(members.get(i % members.size()), i).join();
                Thread.sleep(IN_FORCE_INTERVAL_MILLIS);
            }
            for (Member member : members) {
                group.await(() -> member.state().size() == IN_FORCE_CHANGES);
                for (int i = 0; i < IN_FORCE_CHANGES; i++) {
                    long applied = member.state().appliedNanos(i);
                    micros.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, applied - sent[i])));
                }
            }
        }
        printResult("from the proposal until in force on each of 9 hosts, us", micros, IN_FORCE_BOUND);
    }

    private static void state(int entries) throws IOException {
        try (BenchGroup group = BenchGroup.start(1, 0, entries)) {
            Member leader = group.leader();
            long before = usedBytes();
            proposeAll(leader, entries / 2, 256);
            OUT.printf("log and state in memory, B per 1,000 entries: %d%n", (usedBytes() - before) * 2_000L / entries);
            proposeAll(leader, entries, 256);
            group.await(() -> leader.node().counters().snapshotsTaken() > 0);
            HostId host = leader.host();
            group.stopHost(host);
            long start = System.nanoTime();
            Member restarted = group.startHost(host);
            group.await(() -> restarted.state().size() > 0);
            OUT.printf(
                    "restart until the snapshot is loaded, ms: %d (%d entries of %d B)%n",
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start),
                    restarted.state().size(),
                    ENTRY_BYTES);
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static CompletableFuture<byte[]> propose(Member member, long number) {
        return member.node()
                .propose(
                        BenchStateMachine.command(number, ENTRY_BYTES),
                        Deadline.after(Duration.ofSeconds(10), BenchGroup.TICKER));
    }

    private static void printResult(String name, Histogram histogram, Duration bound) {
        long max = histogram.getMaxValue();
        boolean isMillis = name.endsWith("ms");
        boundExceeded = max > (isMillis ? bound.toMillis() : bound.toNanos() / 1_000);
        OUT.printf(
                "%s: p50 %d, p99 %d, max %d, %d samples, bound %s%n",
                name,
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(99),
                max,
                histogram.getTotalCount(),
                bound);
    }
}
