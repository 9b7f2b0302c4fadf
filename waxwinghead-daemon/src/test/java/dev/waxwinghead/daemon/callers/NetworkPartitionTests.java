package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NetworkPartitionTests {
    private static final long LEASE_EXPIRY_MILLIS = 3_000;

    private final TestCluster cluster = new TestCluster("e1@dc1", "e2@dc2");
    private final List<TestHost> hosts = cluster.addAll();
    private final HttpClient client = HttpClient.newHttpClient();
    private StubUpstream first;
    private StubUpstream second;

    @BeforeEach
    void start() throws Exception {
        first = StubUpstream.start(hosts.get(0), "u1", exchange -> StubUpstream.reply(exchange, 200, "u1"));
        second = StubUpstream.start(hosts.get(1), "u2", exchange -> StubUpstream.reply(exchange, 200, "u2"));
        Eventually.check(this::assertBothKnowBoth);
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
        cluster.close();
    }

    @Test
    void eachSideServesItsOwnUpstreamsAndBothAgreeAfterThePartitionHeals() throws Exception {
        cluster.moveToPartition(1, hosts.get(1));
        assertThat(answers(hosts.get(0))).containsExactly("u1");
        assertThat(answers(hosts.get(1))).containsExactly("u2");
        Thread.sleep(LEASE_EXPIRY_MILLIS);
        assertThat(answers(hosts.get(0))).containsExactly("u1");
        assertThat(answers(hosts.get(1))).containsExactly("u2");
        assertThat(hosts.get(0).upstreams().status()).containsEntry("serving", 1L);
        cluster.moveToPartition(0, hosts.get(1));
        Eventually.check(this::assertBothKnowBoth);
    }

    @Test
    void usesUpstreamsOfAnotherDataCentreIfTheLocalOneHasNone() throws Exception {
        first.leave();
        Eventually.check(() -> assertThat(answers(hosts.get(0))).containsExactly("u2"));
    }

    private void assertBothKnowBoth() {
        for (TestHost host : hosts) {
            assertThat(host.upstreams().status()).containsEntry("serving", 2L);
        }
    }

    private Set<String> answers(TestHost host) throws Exception {
        Set<String> answers = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            HttpResponse<String> response =
                    client.send(host.request("/q").build(), HttpResponse.BodyHandlers.ofString());
            assertThat(response.statusCode()).isEqualTo(200);
            answers.add(response.body());
        }
        return answers;
    }
}
