package dev.waxwinghead.coordination.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ConsensusModelTests {
    private static final int HISTORIES = 10_000;
    private static final int STEPS_PER_HISTORY = 700;

    /** The number of histories with disks that refuse writes, a property so that more can be run by hand. */
    private static final int REFUSAL_HISTORIES = Integer.getInteger("waxwinghead.model.refusalHistories", 1000);

    private static final long FIRST_REFUSAL_SEED = 1_000_001;

    private static final Map<String, Long> LEAST_PER_1000_HISTORIES = Map.ofEntries(
            Map.entry("refused hard states", 1000L),
            Map.entry("refused entries", 1000L),
            Map.entry("refused received snapshots", 100L),
            Map.entry("refused own snapshots", 500L),
            Map.entry("partial writes", 50L),
            Map.entry("resumptions", 1000L),
            Map.entry("crashes while refusing", 300L),
            Map.entry("disk losses while refusing", 10L),
            Map.entry("progress with refusing hosts", 500L),
            Map.entry("leaders that remain", 500L),
            Map.entry("committed entries", 10_000L),
            Map.entry("committed memberships", 200L),
            Map.entry("confirmed reads", 200L),
            Map.entry("leaders", 2000L));

    @Test
    void keepsInvariantsInAllSeededHistories() {
        LongAdder committed = new LongAdder();
        LongAdder leaders = new LongAdder();
        LongAdder reads = new LongAdder();
        LongAdder memberships = new LongAdder();
        LongAdder diskLosses = new LongAdder();
        LongAdder installs = new LongAdder();
        LongStream.rangeClosed(1, HISTORIES).parallel().forEach(seed -> {
            ModelInvariants invariants = runHistory(seed, false);
            committed.add(invariants.lastCommitted());
            leaders.add(invariants.leaderCount());
            reads.add(invariants.confirmedReads);
            memberships.add(invariants.committedMemberships);
            diskLosses.add(invariants.diskLosses);
            installs.add(invariants.installedSnapshots);
        });
        assertWithMessage("committed entries").that(committed.sum()).isAtLeast(100_000);
        assertWithMessage("leaders").that(leaders.sum()).isAtLeast(30_000);
        assertWithMessage("confirmed reads").that(reads.sum()).isAtLeast(5_000);
        assertWithMessage("committed memberships").that(memberships.sum()).isAtLeast(4_000);
        assertWithMessage("disk losses").that(diskLosses.sum()).isAtLeast(3_000);
        assertWithMessage("installed snapshots").that(installs.sum()).isAtLeast(2_000);
    }

    @Test
    void keepsInvariantsInAllSeededHistoriesWithDisksThatRefuseWrites() {
        Map<String, LongAdder> counts = new ConcurrentHashMap<>();
        LongStream.range(FIRST_REFUSAL_SEED, FIRST_REFUSAL_SEED + REFUSAL_HISTORIES)
                .parallel()
                .forEach(seed -> runHistory(seed, true)
                        .refusalCounts()
                        .forEach((name, count) -> counts.computeIfAbsent(name, n -> new LongAdder())
                                .add(count)));
        LEAST_PER_1000_HISTORIES.forEach((name, least) ->
                assertWithMessage(name).that(counts.get(name).sum()).isAtLeast(least * REFUSAL_HISTORIES / 1000));
    }

    private static ModelInvariants runHistory(long seed, boolean refusesWrites) {
        try {
            ModelCluster cluster = new ModelCluster(seed, refusesWrites);
            cluster.run(STEPS_PER_HISTORY);
            if (refusesWrites) {
                cluster.checkProgress();
            }
            return cluster.invariants;
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }
}
