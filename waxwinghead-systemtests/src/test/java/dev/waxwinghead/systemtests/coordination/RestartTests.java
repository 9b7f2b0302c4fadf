package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.systemtests.EntryHost;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RestartTests {
    private static final int CHANGES = 500;
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    private static void assertCatchesUpAfterStart(CoordinationCluster cluster, EntryHost host) {
        host.start();
        assertThat(cluster.entries(host, CATCH_UP_TIMEOUT)).hasSize(CHANGES);
    }

    @Test
    void catchesUpAfterMissingHundredsOfChangesWithAndWithoutItsData() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 1)) {
            EntryHost leader = cluster.leader(cluster.hosts());
            EntryHost voter = cluster.others(leader).stream()
                    .filter(host -> !host.id().equals("e4"))
                    .findFirst()
                    .orElseThrow();
            EntryHost learner = cluster.hosts().get(3);
            voter.process().kill();
            learner.process().kill();
            for (int i = 0; i < CHANGES; i++) {
                cluster.putTenant(leader, "t" + i, TIMEOUT);
            }

            assertCatchesUpAfterStart(cluster, voter);
            assertCatchesUpAfterStart(cluster, learner);
            voter.process().kill();
            CoordinationCluster.emptyDataFolder(voter);
            assertCatchesUpAfterStart(cluster, voter);
        }
    }
}
