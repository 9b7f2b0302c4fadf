package dev.waxwinghead.coordination.replica;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.replica.Cluster.Host;
import org.junit.jupiter.api.Test;

class ReplicaNodeTests {
    @Test
    void appliesProposalsOfEveryHostInOneOrder() {
        try (Cluster cluster = Cluster.start(3, 2, 1000)) {
            for (int i = 1; i <= 25; i++) {
                cluster.host(1 + i % 5).propose("change " + i).join();
            }
            Cluster.await(
                    () -> cluster.hosts().stream().allMatch(h -> h.texts().all().size() == 25), "all hosts to apply");
            for (Host host : cluster.hosts()) {
                assertThat(host.texts().all()).isEqualTo(cluster.host(1).texts().all());
            }
        }
    }
}
