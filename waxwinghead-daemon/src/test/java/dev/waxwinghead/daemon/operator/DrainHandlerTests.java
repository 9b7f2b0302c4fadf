package dev.waxwinghead.daemon.operator;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.lifecycle.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
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
    private Duration waited = Duration.ZERO;
    private HttpListener http;

    @BeforeEach
    void listen() {
        ExecutorService threads = Executors.newFixedThreadPool(1);
        closer.register(threads::shutdownNow);
        http = closer.register(HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                threads,
                () -> System.nanoTime() - waited.toNanos()));
        http.route(
                "/v1/drain",
                new DrainHandler(
                        Map.of(
                                DrainKind.WORKER, (change, name) -> record("worker " + name),
                                DrainKind.UPSTREAM, (change, name) -> record("upstream " + name),
                                DrainKind.HOST, (change, name) -> record("host " + name)),
                        new RecordingDrains(),
                        "e1"));
        http.route("/v1/undrain", new UndrainHandler(new RecordingDrains()));
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
        "'\"host\": true', host e1",
        "'\"dataCentre\": \"dc1\"', data centre dc1 true",
        "'\"dataCentre\": \"dc1\", \"dryRun\": false', data centre dc1 true",
        "'\"dataCentre\": \"dc1\", \"dryRun\": true', forecast dc1"
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

    /** Guards against a dry run that drains the target after all. */
    @Test
    void refusesADryRunForOtherTargets() throws Exception {
        assertThat(post("{\"changeId\": \"c1\", \"worker\": \"w1\", \"dryRun\": true}"))
                .isEqualTo(400);
        assertThat(drained).isEmpty();
    }

    @Test
    void revertsTheDrainOfADataCentre() throws Exception {
        assertThat(post("/v1/undrain", "{\"changeId\": \"c1\", \"dataCentre\": \"dc1\"}"))
                .isEqualTo(200);
        assertThat(drained).containsExactly("data centre dc1 false");
    }

    /** Guards against an order that a paused host reads after its sender has sent the opposite one elsewhere. */
    @Test
    void refusesAnOrderWhoseSenderHasGivenUp() throws Exception {
        waited = Duration.ofSeconds(7);
        assertThat(post("{\"changeId\": \"c1\", \"dataCentre\": \"dc1\"}")).isEqualTo(503);
        assertThat(post("/v1/undrain", "{\"changeId\": \"c2\", \"dataCentre\": \"dc1\"}"))
                .isEqualTo(503);
        assertThat(drained).isEmpty();
    }

    private CompletableFuture<Void> record(String target) {
        drained.add(target);
        return CompletableFuture.completedFuture(null);
    }

    private int post(String body) throws Exception {
        return post("/v1/drain", body);
    }

    private int post(String path, String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + http.address().getPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private final class RecordingDrains implements DataCentreDrains {
        @Override
        public CompletableFuture<Long> drainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
            drained.add("data centre " + dataCentre + " true");
            return CompletableFuture.completedFuture(7L);
        }

        @Override
        public CompletableFuture<Long> undrainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
            drained.add("data centre " + dataCentre + " false");
            return CompletableFuture.completedFuture(8L);
        }

        @Override
        public CompletableFuture<DrainForecast> forecastDrain(DataCentreId dataCentre) {
            drained.add("forecast " + dataCentre);
            return CompletableFuture.completedFuture(new DrainForecast(dataCentre, false, true, List.of(), 0));
        }
    }
}
