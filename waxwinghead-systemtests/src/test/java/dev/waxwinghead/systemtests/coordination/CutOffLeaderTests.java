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
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(3);
    private static final int PARTITION_MILLIS = 6_000;

    @TempDir
    private Path folder;

    /** Asserts that a host without a majority neither accepts a change nor answers a read. */
    private static void assertRefusesChangesAndReads(CoordinationCluster cluster, EntryHost host, String tenant) {
        Optional<Answer> change = cluster.tryPutTenant(host, tenant);
        assertWithMessage("change").that(change.filter(Answer::isOk)).isEmpty();
        Optional<Answer> read = cluster.client().get(host, "/v1/configuration");
        assertWithMessage("read").that(read.map(Answer::status)).hasValue(503);
    }

    private static void assertCatchesUp(CoordinationCluster cluster, EntryHost host, String key) {
        CoordinationCluster.await(
                CATCH_UP_TIMEOUT,
                "current read on " + host.id(),
                () -> cluster.client()
                        .get(host, "/v1/configuration")
                        .filter(answer ->
                                answer.isOk() && answer.body().toString().contains(key))
                        .isPresent());
    }

    @Test
    void neitherAcceptsChangesNorServesReadsWhilePartitioned() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            EntryHost oldLeader = cluster.leader(cluster.hosts());
            List<EntryHost> rest = cluster.others(oldLeader);
            cluster.putTenant(oldLeader, "before", TIMEOUT);

            cluster.forEachRelayOf(oldLeader, TcpRelay::drop);
            cluster.putTenant(rest.get(0), "during", TIMEOUT);
            assertRefusesChangesAndReads(cluster, oldLeader, "refused");
            CoordinationCluster.sleep(PARTITION_MILLIS);
            assertRefusesChangesAndReads(cluster, oldLeader, "refused-again");
            cluster.forEachRelayOf(oldLeader, TcpRelay::heal);

            assertCatchesUp(cluster, oldLeader, "Tenant/during");
            assertThat(cluster.entries(rest.get(1), TIMEOUT).keySet())
                    .containsAtLeast("Tenant/before", "Tenant/during");
        }
    }

    @Test
    void servesNoStaleReadsAfterBeingFrozenAndResumed() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            for (int round = 0; round < 5; round++) {
                EntryHost oldLeader = cluster.leader(cluster.hosts());
                EntryHost other = cluster.others(oldLeader).get(0);
                oldLeader.process().freeze();
                cluster.putTenant(other, "during" + round, TIMEOUT);
                oldLeader.process().resume();

                Optional<Answer> first = cluster.client().get(oldLeader, "/v1/configuration");

                first.filter(Answer::isOk)
                        .ifPresent(
                                answer -> assertThat(answer.body().toString()).contains("Tenant/during"));
                assertCatchesUp(cluster, oldLeader, "Tenant/during" + round);
            }
        }
    }

    @Test
    void replacesConnectionsThatAllWentSilent() throws InterruptedException {
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 1)) {
            cluster.putTenant(cluster.hosts().get(0), "before", TIMEOUT);
            for (int round = 0; round < 3; round++) {
                String tenant = "after" + round;
                cluster.forEachRelay(TcpRelay::dropEstablished);
                CoordinationCluster.sleep(CATCH_UP_TIMEOUT.toMillis());
                cluster.putTenant(cluster.hosts().get(round), tenant, CATCH_UP_TIMEOUT);
                cluster.hosts().forEach(host -> assertCatchesUp(cluster, host, "Tenant/" + tenant));
            }
        }
    }
}
