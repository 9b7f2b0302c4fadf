package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.systemtests.EntryHost;
import dev.waxwinghead.systemtests.coordination.OperatorClient.Answer;
import dev.waxwinghead.testkit.relay.TcpRelay;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CutOffLeaderTests {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration FOLLOWS_WITHIN = Duration.ofSeconds(3);
    private static final int SILENCE_MILLIS = 6_000;

    @TempDir
    private Path folder;

    /** Asks a host that is cut off to accept and to read, and checks that it does neither. */
    private static void checkRefuses(CoordinationCluster cluster, EntryHost host, String tenant) {
        Optional<Answer> change = cluster.tryPut(host, tenant);
        assertWithMessage("change").that(change.filter(Answer::ok)).isEmpty();
        Optional<Answer> read = cluster.client().get(host, "/v1/configuration");
        assertWithMessage("read").that(read.map(Answer::status)).hasValue(503);
    }

    private static void checkFollows(CoordinationCluster cluster, EntryHost host, String key) {
        CoordinationCluster.await(
                FOLLOWS_WITHIN,
                "current read on " + host.id(),
                () -> cluster.client()
                        .get(host, "/v1/configuration")
                        .filter(answer ->
                                answer.ok() && answer.body().toString().contains(key))
                        .isPresent());
    }

    @Test
    void neitherAcceptsNorServesStaleReadsWhileItIsCutOffSilently() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            EntryHost old = cluster.leader(cluster.hosts());
            List<EntryHost> rest = cluster.others(old);
            cluster.putTenant(old, "before", LIMIT);

            cluster.eachRelayOf(old, TcpRelay::drop);
            cluster.putTenant(rest.get(0), "during", LIMIT);
            checkRefuses(cluster, old, "refused");
            CoordinationCluster.sleep(SILENCE_MILLIS);
            checkRefuses(cluster, old, "refused-again");
            cluster.eachRelayOf(old, TcpRelay::heal);

            checkFollows(cluster, old, "Tenant/during");
            assertThat(cluster.entries(rest.get(1), LIMIT).keySet()).containsAtLeast("Tenant/before", "Tenant/during");
        }
    }

    @Test
    void servesNothingStaleWhenItIsFrozenAndWoken() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            for (int round = 0; round < 5; round++) {
                EntryHost old = cluster.leader(cluster.hosts());
                EntryHost other = cluster.others(old).get(0);
                old.process().freeze();
                cluster.putTenant(other, "during" + round, LIMIT);
                old.process().resume();

                Optional<Answer> first = cluster.client().get(old, "/v1/configuration");

                first.filter(Answer::ok)
                        .ifPresent(
                                answer -> assertThat(answer.body().toString()).contains("Tenant/during"));
                checkFollows(cluster, old, "Tenant/during" + round);
            }
        }
    }

    @Test
    void replacesConnectionsThatAllWentSilent() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 1)) {
            cluster.putTenant(cluster.hosts().get(0), "before", LIMIT);
            for (int round = 0; round < 3; round++) {
                String tenant = "after" + round;
                cluster.eachRelay(TcpRelay::forgetEstablished);
                CoordinationCluster.sleep(FOLLOWS_WITHIN.toMillis());
                cluster.putTenant(cluster.hosts().get(round), tenant, FOLLOWS_WITHIN);
                cluster.hosts().forEach(host -> checkFollows(cluster, host, "Tenant/" + tenant));
            }
        }
    }
}
