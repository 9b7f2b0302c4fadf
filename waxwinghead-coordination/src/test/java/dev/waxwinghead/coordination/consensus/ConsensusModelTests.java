package dev.waxwinghead.coordination.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ConsensusModelTests {
    private static final int HISTORIES = 10_000;
    private static final int STEPS_PER_HISTORY = 700;

    @Test
    void keepsInvariantsInAllSeededHistories() {
        LongAdder committed = new LongAdder();
        LongAdder leaders = new LongAdder();
        LongAdder reads = new LongAdder();
        LongAdder memberships = new LongAdder();
        LongAdder diskLosses = new LongAdder();
        LongAdder installs = new LongAdder();
        LongStream.rangeClosed(1, HISTORIES).parallel().forEach(seed -> {
            ModelInvariants invariants = runHistory(seed);
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

    private static ModelInvariants runHistory(long seed) {
        try {
            ModelCluster cluster = new ModelCluster(seed);
            cluster.run(STEPS_PER_HISTORY);
            return cluster.invariants;
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }
}
