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
    private static final long PARTITION_MILLIS = 300;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path folder;

    /** The acknowledged revisions by key. */
    private final Map<String, Long> acknowledged = new ConcurrentSkipListMap<>();

    private final AtomicBoolean ended = new AtomicBoolean();

    /** Sends changes in sequence, each to random hosts with the same change id until accepted. */
    private void sendChanges(CoordinationCluster cluster, RandomGenerator random) {
        for (int i = 0; !ended.get(); i++) {
            String tenant = "t" + i;
            boolean accepted = false;
            while (!accepted) {
                EntryHost host =
                        cluster.hosts().get(random.nextInt(cluster.hosts().size()));
                var answer = cluster.tryPutTenant(host, tenant).filter(OperatorClient.Answer::isOk);
                answer.ifPresent(found -> acknowledged.put("Tenant/" + tenant, found.revision()));
                accepted = answer.isPresent();
            }
        }
    }

    /** Partitions the leader and sends it a change, which the hosts must keep if it is acknowledged. */
    private void proposeWhilePartitioned(CoordinationCluster cluster, EntryHost leader, String tenant) {
        cluster.forEachRelayOf(leader, TcpRelay::drop);
        var change = cluster.client().putTenant(leader, "put-" + tenant, null, tenant);
        CoordinationCluster.sleep(PARTITION_MILLIS);
        if (change.isDone()
                && !change.isCompletedExceptionally()
                && change.join().isOk()) {
            acknowledged.put("Tenant/" + tenant, change.join().revision());
        }
    }

    private void assertAcknowledgedOnEveryHost(CoordinationCluster cluster, String when) {
        for (EntryHost host : cluster.hosts()) {
            assertWithMessage("%s, on %s", when, host.id())
                    .that(cluster.entries(host, TIMEOUT))
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
                CoordinationCluster.await(TIMEOUT, "change", () -> acknowledged.size() > before + 5);
                CoordinationCluster.sleep(random.nextInt(200));
                EntryHost leader = cluster.leader(cluster.hosts());
                if (kill % 2 == 1) {
                    proposeWhilePartitioned(cluster, leader, "cut" + kill);
                }
                leader.process().kill();
                cluster.forEachRelayOf(leader, TcpRelay::heal);
                int killedAt = acknowledged.size();
                CoordinationCluster.await(TIMEOUT, "failover", () -> acknowledged.size() > killedAt + 1);
                leader.start();
                CoordinationCluster.await(TIMEOUT, "return", () -> cluster.isCurrent(leader));
            }
            ended.set(true);
            writer.join();

            assertAcknowledgedOnEveryHost(cluster, "after the kills");
            assertThat(new TreeMap<>(acknowledged).size()).isAtLeast(5 * KILLS);
            assertThat(List.copyOf(acknowledged.values())).containsNoDuplicates();
            for (EntryHost host : cluster.hosts()) {
                host.process().kill();
            }
            cluster.hosts().forEach(EntryHost::start);
            assertAcknowledgedOnEveryHost(cluster, "after a restart of all hosts");
        } finally {
            ended.set(true);
        }
    }
}
