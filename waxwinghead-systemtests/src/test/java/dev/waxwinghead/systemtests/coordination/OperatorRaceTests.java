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
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    private final Map<String, Long> accepted = new TreeMap<>();

    private long race(CoordinationCluster cluster, int round, long revision) {
        EntryHost firstHost = cluster.hosts().get(round % 4);
        EntryHost secondHost = cluster.hosts().get((round + 1) % 4);
        String firstTenant = "left" + round;
        String secondTenant = "right" + round;
        var first = cluster.client().putTenant(firstHost, firstTenant, revision, firstTenant);
        var second = cluster.client().putTenant(secondHost, secondTenant, revision, secondTenant);
        boolean firstWon = first.join().isOk();
        Answer winner = firstWon ? first.join() : second.join();
        Answer loser = firstWon ? second.join() : first.join();
        String winningTenant = firstWon ? firstTenant : secondTenant;

        assertWithMessage("round %s", round).that(winner.status()).isEqualTo(200);
        assertWithMessage("round %s", round).that(loser.status()).isEqualTo(409);
        assertThat(loser.body().path("winner").asText()).isEqualTo(winningTenant);
        accepted.put("Tenant/" + winningTenant, winner.revision());
        Answer resent = cluster.client()
                .putTenant(cluster.hosts().get((round + 2) % 4), winningTenant, revision, winningTenant)
                .join();
        assertWithMessage("resend %s", round).that(resent.status()).isEqualTo(200);
        assertThat(resent.revision()).isEqualTo(winner.revision());
        assertThat(resent.body().path("replayed").asBoolean()).isTrue();
        return winner.revision();
    }

    @Test
    void acceptsExactlyOneOfTwoConcurrentChangesInEveryRound() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 1)) {
            long revision = cluster.putTenant(cluster.hosts().get(0), "first", TIMEOUT);
            accepted.put("Tenant/first", revision);
            for (int round = 0; round < ROUNDS; round++) {
                revision = race(cluster, round, revision);
            }
            List<EntryHost> hosts = cluster.hosts();
            hosts.forEach(host -> assertThat(cluster.entries(host, TIMEOUT)).isEqualTo(accepted));
        }
    }
}
