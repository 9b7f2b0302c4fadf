package dev.waxwinghead.testkit.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamTests {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final AtomicBoolean permitted = new AtomicBoolean(true);
    private final Upstream upstream = Upstream.open(UpstreamOptions.of(
            "service/quotes/0:1", 1, 64, permitted::get, () -> 0, (event, detail) -> events.add(event + " " + detail)));

    @AfterEach
    void close() {
        upstream.close();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + upstream.address() + path));
    }

    private HttpResponse<byte[]> get(String path) throws Exception {
        return client.send(request(path).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("Waxwinghead-Outcome").orElse("none");
    }

    @Test
    void sendsDigestOfBodyInHeader() throws Exception {
        HttpResponse<byte[]> response = get("/bytes/100000");

        assertThat(response.body()).hasLength(100_000);
        assertThat(response.headers().firstValue("Body-Digest")).hasValue(Responses.digest(response.body()));
    }

    @Test
    void refusesRequestWhenAllSlotsAreTaken() throws Exception {
        CompletableFuture<HttpResponse<String>> first =
                client.sendAsync(request("/silent/5000").build(), HttpResponse.BodyHandlers.ofString());
        while (upstream.inFlight() == 0) {
            Thread.onSpinWait();
        }

        HttpResponse<byte[]> second = get("/echo");

        assertThat(second.statusCode()).isEqualTo(503);
        assertThat(outcome(second)).isEqualTo("not-run");
        assertThat(first.isDone()).isFalse();
    }

    @Test
    void refusesRequestWithoutPermission() throws Exception {
        permitted.set(false);

        assertThat(outcome(get("/echo"))).isEqualTo("not-run");
    }

    @Test
    void countsRunsOfEachKey() throws Exception {
        HttpRequest charge = request("/charge")
                .header("Idempotency-Key", "order-1")
                .POST(HttpRequest.BodyPublishers.ofString("benches"))
                .build();

        client.send(charge, HttpResponse.BodyHandlers.discarding());
        client.send(charge, HttpResponse.BodyHandlers.discarding());

        assertThat(new String(get("/runs/order-1").body(), java.nio.charset.StandardCharsets.UTF_8))
                .isEqualTo("2");
        assertThat(events).containsExactly("run order-1", "run order-1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/break/1000", "/break-chunked/1000", "/silent/1"})
    void abortsConnection(String path) {
        assertThrows(IOException.class, () -> get(path));
    }

    @Test
    void endsFeedsWhenUpstreamLeaves() throws Exception {
        CompletableFuture<HttpResponse<String>> feed =
                client.sendAsync(request("/feed/5").build(), HttpResponse.BodyHandlers.ofString());
        while (upstream.inFlight() == 0) {
            Thread.onSpinWait();
        }

        upstream.leave();

        assertThat(feed.join().body()).startsWith("id: 0\ndata: 0\n\n");
    }
}
