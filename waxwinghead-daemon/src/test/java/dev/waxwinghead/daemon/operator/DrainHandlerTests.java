package dev.waxwinghead.daemon.operator;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.model.lifecycle.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainHandlerTests {
    private final Closer closer = Closer.create();
    private final List<String> drained = new ArrayList<>();
    private HttpListener http;

    @BeforeEach
    void listen() {
        ExecutorService threads = Executors.newFixedThreadPool(1);
        closer.register(threads::shutdownNow);
        http = closer.register(HttpListener.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), threads));
        http.route(
                "/v1/drain",
                new DrainHandler(
                        Map.of(
                                DrainKind.WORKER, (change, name) -> record("worker " + name),
                                DrainKind.UPSTREAM, (change, name) -> record("upstream " + name),
                                DrainKind.HOST, (change, name) -> record("host " + name)),
                        "e1"));
        http.start();
    }

    @AfterEach
    void close() {
        closer.close();
    }

    @ParameterizedTest
    @CsvSource({
        "'\"worker\": \"w1\"', worker w1",
        "'\"worker\": \"w1\", \"host\": false', worker w1",
        "'\"upstream\": \"u1\", \"host\": null', upstream u1",
        "'\"host\": true', host e1"
    })
    void drainsTheNamedTarget(String target, String expected) throws Exception {
        assertThat(post("{\"changeId\": \"c1\", " + target + "}")).isEqualTo(200);
        assertThat(drained).containsExactly(expected);
    }

    @Test
    void refusesSeveralTargets() throws Exception {
        assertThat(post("{\"changeId\": \"c1\", \"worker\": \"w1\", \"host\": true}"))
                .isEqualTo(400);
        assertThat(drained).isEmpty();
    }

    private CompletableFuture<Void> record(String target) {
        drained.add(target);
        return CompletableFuture.completedFuture(null);
    }

    private int post(String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + http.address().getPort() + "/v1/drain");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
