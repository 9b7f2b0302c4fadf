package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.systemtests.EntryHost;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RestartTests {
    private static final int CHANGES = 500;
    private static final Duration CURRENT_WITHIN = Duration.ofSeconds(5);
    private static final Duration LIMIT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    private static void checkCurrentSoonAfterStart(CoordinationCluster cluster, EntryHost host) {
        host.start();
        assertThat(cluster.entries(host, CURRENT_WITHIN)).hasSize(CHANGES);
    }

    @Test
    void isCurrentSoonAfterHundredsOfChangesWithAndWithoutItsDisk() throws InterruptedException {
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
                cluster.putTenant(leader, "t" + i, LIMIT);
            }

            checkCurrentSoonAfterStart(cluster, voter);
            checkCurrentSoonAfterStart(cluster, learner);
            voter.process().kill();
            CoordinationCluster.emptyDataFolder(voter);
            checkCurrentSoonAfterStart(cluster, voter);
        }
    }
}
