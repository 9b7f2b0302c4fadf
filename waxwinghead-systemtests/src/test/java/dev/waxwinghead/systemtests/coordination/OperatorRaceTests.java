package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.systemtests.EntryHost;
import dev.waxwinghead.systemtests.coordination.OperatorClient.Answer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OperatorRaceTests {
    private static final int ROUNDS = 200;
    private static final Duration LIMIT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    private final Map<String, Long> accepted = new TreeMap<>();

    private long race(CoordinationCluster cluster, int round, long revision) {
        EntryHost left = cluster.hosts().get(round % 4);
        EntryHost right = cluster.hosts().get((round + 1) % 4);
        String tenantLeft = "left" + round;
        String tenantRight = "right" + round;
        var first = cluster.client().putTenant(left, tenantLeft, revision, tenantLeft);
        var second = cluster.client().putTenant(right, tenantRight, revision, tenantRight);
        boolean leftWon = first.join().ok();
        Answer winner = leftWon ? first.join() : second.join();
        Answer loser = leftWon ? second.join() : first.join();
        String winnersTenant = leftWon ? tenantLeft : tenantRight;

        assertWithMessage("round %s", round).that(winner.status()).isEqualTo(200);
        assertWithMessage("round %s", round).that(loser.status()).isEqualTo(409);
        assertThat(loser.body().path("winner").asText()).isEqualTo(winnersTenant);
        accepted.put("Tenant/" + winnersTenant, winner.revision());
        Answer resent = cluster.client()
                .putTenant(cluster.hosts().get((round + 2) % 4), winnersTenant, revision, winnersTenant)
                .join();
        assertWithMessage("resend %s", round).that(resent.status()).isEqualTo(200);
        assertThat(resent.revision()).isEqualTo(winner.revision());
        assertThat(resent.body().path("replayed").asBoolean()).isTrue();
        return winner.revision();
    }

    @Test
    void letsExactlyOneOfTwoEqualChangesWinInEveryRound() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 1)) {
            long revision = cluster.putTenant(cluster.hosts().get(0), "first", LIMIT);
            accepted.put("Tenant/first", revision);
            for (int round = 0; round < ROUNDS; round++) {
                revision = race(cluster, round, revision);
            }
            List<EntryHost> hosts = cluster.hosts();
            hosts.forEach(host -> assertThat(cluster.entries(host, LIMIT)).isEqualTo(accepted));
        }
    }
}
