package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.systemtests.EntryHost;
import dev.waxwinghead.testkit.relay.TcpRelay;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderKillTests {
    private static final int KILLS = 5;
    private static final long CUT_MILLIS = 300;
    private static final Duration LIMIT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    /** Revision by key, as the hosts acknowledged them. */
    private final Map<String, Long> acknowledged = new ConcurrentSkipListMap<>();

    private final AtomicBoolean ended = new AtomicBoolean();

    /** Sends changes one after the other, each to a random host and again with the same id until it is accepted. */
    private void sendChanges(CoordinationCluster cluster, RandomGenerator random) {
        for (int i = 0; !ended.get(); i++) {
            String tenant = "t" + i;
            boolean accepted = false;
            while (!accepted) {
                EntryHost host =
                        cluster.hosts().get(random.nextInt(cluster.hosts().size()));
                var answer = cluster.tryPut(host, tenant).filter(OperatorClient.Answer::ok);
                answer.ifPresent(found -> acknowledged.put("Tenant/" + tenant, found.revision()));
                accepted = answer.isPresent();
            }
        }
    }

    /** Cuts the leader off and sends it a change, which counts only if it is acknowledged all the same. */
    private void proposeWhileCutOff(CoordinationCluster cluster, EntryHost leader, String tenant) {
        cluster.eachRelayOf(leader, TcpRelay::drop);
        var change = cluster.client().putTenant(leader, "put-" + tenant, null, tenant);
        CoordinationCluster.sleep(CUT_MILLIS);
        if (change.isDone()
                && !change.isCompletedExceptionally()
                && change.join().ok()) {
            acknowledged.put("Tenant/" + tenant, change.join().revision());
        }
    }

    private void checkEverywhere(CoordinationCluster cluster, String when) {
        for (EntryHost host : cluster.hosts()) {
            assertWithMessage("%s, on %s", when, host.id())
                    .that(cluster.entries(host, LIMIT))
                    .isEqualTo(acknowledged);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void keepsEveryAcknowledgedChangeOnceWhenLeadersAreKilled(long seed) throws InterruptedException {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        try (CoordinationCluster cluster = CoordinationCluster.start(folder, 3, 0)) {
            RandomGenerator choices =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(seed + 1000);
            CompletableFuture<Void> writer = CompletableFuture.runAsync(() -> sendChanges(cluster, choices));
            for (int kill = 0; kill < KILLS; kill++) {
                int before = acknowledged.size();
                CoordinationCluster.await(LIMIT, "change", () -> acknowledged.size() > before + 5);
                CoordinationCluster.sleep(random.nextInt(200));
                EntryHost leader = cluster.leader(cluster.hosts());
                if (kill % 2 == 1) {
                    proposeWhileCutOff(cluster, leader, "cut" + kill);
                }
                leader.process().kill();
                cluster.eachRelayOf(leader, TcpRelay::heal);
                int killedAt = acknowledged.size();
                CoordinationCluster.await(LIMIT, "failover", () -> acknowledged.size() > killedAt + 1);
                leader.start();
                CoordinationCluster.await(LIMIT, "return", () -> cluster.isCurrent(leader));
            }
            ended.set(true);
            writer.join();

            checkEverywhere(cluster, "after the kills");
            assertThat(new TreeMap<>(acknowledged).size()).isAtLeast(5 * KILLS);
            assertThat(List.copyOf(acknowledged.values())).containsNoDuplicates();
            for (EntryHost host : cluster.hosts()) {
                host.process().kill();
            }
            cluster.hosts().forEach(EntryHost::start);
            checkEverywhere(cluster, "after a restart of all");
        } finally {
            ended.set(true);
        }
    }
}
