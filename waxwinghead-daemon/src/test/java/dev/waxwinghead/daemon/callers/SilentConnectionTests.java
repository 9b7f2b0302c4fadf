package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that fail because the pooled connections to an upstream no longer carry any bytes although
 * neither side has closed them.
 */
class SilentConnectionTests {
    private static final int CONCURRENT_REQUESTS = 5;

    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();
    private StubUpstream upstream;
    private StubUpstream announcer;
    private DroppingRelay relay;

    @BeforeEach
    void warmUpConnectionsAndMakeThemSilent() throws Exception {
        upstream = StubUpstream.unannounced(exchange -> {
            pause();
            StubUpstream.reply(exchange, 200, "ok");
        });
        relay = DroppingRelay.start(upstream.port());
        announcer = StubUpstream.startAt(host, "u1", relay.port());
        sendAll("/warm-up")
                .forEach(response -> assertThat(response.statusCode()).isEqualTo(200));
        Thread.sleep(300);
        relay.dropEstablishedConnections();
    }

    @AfterEach
    void close() throws Exception {
        cluster.close();
        relay.close();
        announcer.close();
        upstream.close();
    }

    @Test
    void idempotentRequestsAreAnsweredWithinTheirDeadline() throws Exception {
        for (HttpResponse<String> response : sendAll("/silent")) {
            assertThat(response.statusCode()).isEqualTo(200);
        }
        int connections = relay.connections();
        for (HttpResponse<String> response : sendAll("/after")) {
            assertThat(response.statusCode()).isEqualTo(200);
        }
        assertThat(relay.connections()).isAtMost(connections + CONCURRENT_REQUESTS);
    }

    @Test
    void nonIdempotentRequestsAreNeverResent() throws Exception {
        int before = upstream.runs();
        HttpRequest request = host.request("/single")
                .header("Waxwinghead-Deadline-Ms", "1000")
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .build();
        HttpResponse<String> lost = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(lost.statusCode()).isEqualTo(504);
        assertThat(lost.headers().firstValue("Waxwinghead-Outcome")).hasValue("unknown");
        assertThat(upstream.runs()).isEqualTo(before);
        HttpResponse<String> next = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(next.statusCode()).isEqualTo(200);
        assertThat(upstream.runs()).isEqualTo(before + 1);
    }

    private List<HttpResponse<String>> sendAll(String path) {
        HttpRequest request =
                host.request(path).header("Waxwinghead-Deadline-Ms", "4000").build();
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sent.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }
        return sent.stream().map(CompletableFuture::join).toList();
    }

    private static void pause() {
        try {
            Thread.sleep(30);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
