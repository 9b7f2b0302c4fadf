package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.systemtests.EntryHost;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LostDiskTests {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    private static Optional<JsonNode> member(CoordinationCluster cluster, EntryHost respondent, String host) {
        JsonNode members = cluster.status(respondent).orElseThrow().path("members");
        for (JsonNode member : members) {
            if (member.path("host").asText().equals(host)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private static String replica(CoordinationCluster cluster, EntryHost respondent, String host) {
        return member(cluster, respondent, host).orElseThrow().path("replica").asText();
    }

    @Test
    void replacesAVoterThatLostItsDataAndSurvivesASecondLoss() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            Map<String, Long> accepted = new TreeMap<>();
            EntryHost leader = cluster.leader(cluster.hosts());
            for (int i = 0; i < 20; i++) {
                accepted.put("Tenant/t" + i, cluster.putTenant(leader, "t" + i, TIMEOUT));
            }
            EntryHost repaired = cluster.others(leader).get(0);
            EntryHost lostNext = cluster.others(leader).get(1);
            String oldReplica = replica(cluster, leader, repaired.id());

            repaired.process().kill();
            CoordinationCluster.emptyDataFolder(repaired);
            repaired.start();
            CoordinationCluster.await(
                    TIMEOUT,
                    "new voter",
                    () -> member(cluster, leader, repaired.id())
                            .filter(member -> member.path("voter").asBoolean()
                                    && !member.path("replica").asText().equals(oldReplica))
                            .isPresent());
            lostNext.process().kill();
            CoordinationCluster.emptyDataFolder(lostNext);

            assertThat(cluster.entries(repaired, TIMEOUT)).isEqualTo(accepted);
            accepted.put("Tenant/after", cluster.putTenant(repaired, "after", TIMEOUT));
            lostNext.start();
            assertThat(cluster.entries(lostNext, TIMEOUT)).isEqualTo(accepted);
            JsonNode members = cluster.status(leader).orElseThrow().path("members");
            assertThat(members.size()).isEqualTo(3);
            assertThat(members.toString()).doesNotContain(oldReplica);
        }
    }
}
