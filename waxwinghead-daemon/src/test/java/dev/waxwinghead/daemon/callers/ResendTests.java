package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Counter;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResendTests {
    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();

    @AfterEach
    void close() {
        cluster.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST", "PUT", "DELETE"})
    void httpClientNeverResendsByItselfWhenTheConnectionBreaksBeforeTheAnswer(String method) throws Exception {
        try (RawUpstream raw = RawUpstream.start("");
                StubUpstream upstream = StubUpstream.startAt(host, "u1", raw.port())) {
            HttpRequest request = host.request("/x")
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            assertThat(client.send(request, HttpResponse.BodyHandlers.ofString())
                            .statusCode())
                    .isEqualTo(200);
            HttpResponse<String> second = client.send(request, HttpResponse.BodyHandlers.ofString());
            boolean resendable = method.equals("GET");
            assertThat(second.headers().firstValue("Waxwinghead-Outcome"))
                    .hasValue(resendable ? "answered" : "unknown");
            assertThat(raw.requests()).isEqualTo(resendable ? 3 : 2);
            assertThat(attempts()).isEqualTo(raw.requests());
            assertThat(upstream.runs()).isEqualTo(0);
        }
    }

    @Test
    void anIdempotentRequestIsSentToAnotherUpstreamWhenOneBreaksOff() throws Exception {
        try (StubUpstream broken = StubUpstream.start(host, "u1", exchange -> {
                    throw new java.io.IOException("break the connection");
                });
                StubUpstream good =
                        StubUpstream.start(host, "u2", exchange -> StubUpstream.reply(exchange, 200, "whole"))) {
            for (int i = 0; i < 5; i++) {
                HttpResponse<String> response =
                        client.send(host.request("/x").build(), HttpResponse.BodyHandlers.ofString());
                assertThat(response.body()).isEqualTo("whole");
            }
            assertThat(good.runs()).isEqualTo(5);
            assertThat(broken.runs()).isAtMost(5);
        }
    }

    @Test
    void reportsNotRunIfNoUpstreamRanTheRequest() throws Exception {
        try (StubUpstream full = StubUpstream.start(host, "u1", exchange -> {
            exchange.getResponseHeaders().set("Waxwinghead-Outcome", "not-run");
            StubUpstream.reply(exchange, 503, "full");
        })) {
            HttpRequest request =
                    host.request("/x").POST(HttpRequest.BodyPublishers.noBody()).build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Waxwinghead-Outcome")).hasValue("not-run");
            assertThat(full.runs()).isEqualTo(attempts());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD"})
    void aKeyedRequestWithASafeMethodIsRefused(String method) throws Exception {
        HttpRequest request = host.request("/x")
                .method(method, HttpRequest.BodyPublishers.noBody())
                .header("Idempotency-Key", "k1")
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.headers().firstValue("Waxwinghead-Outcome")).hasValue("not-run");
    }

    private int attempts() {
        return (int) host.meters().find("waxwinghead.upstream.attempts").counters().stream()
                .mapToDouble(Counter::count)
                .sum();
    }
}
