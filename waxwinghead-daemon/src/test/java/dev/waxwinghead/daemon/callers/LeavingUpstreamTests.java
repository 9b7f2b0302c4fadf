package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.UpstreamId;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingUpstreamTests {
    private static final long PROPAGATION_LIMIT_MILLIS = 3_000;
    private static final int REQUESTS = 30;

    private final TestCluster cluster = new TestCluster("e1@dc1", "e2@dc1", "e3@dc2");
    private final List<TestHost> hosts = cluster.addAll();
    private final HttpClient client = HttpClient.newHttpClient();
    private StubUpstream leavingUpstream;
    private StubUpstream remainingUpstream;

    @BeforeEach
    void start() throws Exception {
        leavingUpstream = StubUpstream.start(hosts.get(0), "u1", exchange -> StubUpstream.reply(exchange, 200, "u1"));
        remainingUpstream = StubUpstream.start(hosts.get(1), "u2", exchange -> StubUpstream.reply(exchange, 200, "u2"));
        Eventually.check(() -> {
            callAll();
            assertThat(leavingUpstream.runs()).isAtLeast(1);
            assertThat(remainingUpstream.runs()).isAtLeast(1);
        });
    }

    @AfterEach
    void close() {
        leavingUpstream.close();
        remainingUpstream.close();
        cluster.close();
    }

    @Test
    void receivesNoNewRequestOnceItAnnouncesThatItLeaves() throws Exception {
        leavingUpstream.leave();
        assertReceivesNoNewRequest();
    }

    @Test
    void receivesNoNewRequestOnceItsAnnouncementsStop() throws Exception {
        leavingUpstream.stopAnnouncing();
        assertReceivesNoNewRequest();
    }

    @Test
    void receivesNoNewRequestOnceItIsDrainedAtAnotherEntryHost() throws Exception {
        hosts.get(2).upstreams().drainUpstream(UpstreamId.of("u1"));
        assertReceivesNoNewRequest();
    }

    @Test
    void isListedForOperators() throws Exception {
        leavingUpstream.leave();
        HttpRequest list = HttpRequest.newBuilder(hosts.get(0).operatorUri("/v1/upstreams"))
                .build();
        String body = client.send(list, HttpResponse.BodyHandlers.ofString()).body();
        assertThat(body).contains("\"upstream\":\"u1\"");
        assertThat(body).contains("\"state\":\"leaving\"");
    }

    private void assertReceivesNoNewRequest() throws Exception {
        Thread.sleep(PROPAGATION_LIMIT_MILLIS);
        int before = leavingUpstream.runs();
        callAll();
        assertThat(leavingUpstream.runs()).isEqualTo(before);
    }

    private void callAll() throws Exception {
        for (TestHost host : hosts) {
            for (int i = 0; i < REQUESTS; i++) {
                HttpResponse<String> response =
                        client.send(host.request("/q").build(), HttpResponse.BodyHandlers.ofString());
                assertThat(response.statusCode()).isEqualTo(200);
            }
        }
    }
}
