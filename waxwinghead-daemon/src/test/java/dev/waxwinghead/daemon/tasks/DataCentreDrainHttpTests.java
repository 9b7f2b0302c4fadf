package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.daemon.configuration.ConfigurationSection;
import dev.waxwinghead.daemon.operator.OperatorPart;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.manifest.Manifests;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Drains data centres through the HTTP handlers of two hosts, each with a data centre of its own. */
class DataCentreDrainHttpTests {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);
    private static final Duration LEASE = Duration.ofSeconds(2);
    private static final String RESOURCES = "resources: {millicores: 400, memoryBytes: 100, accelerators: 0}\n";
    private static final String SERVICE = "kind: Service\nname: quotes\nteam: seating\nreplicas: 2\n" + RESOURCES
            + "placement: {spreadOver: DATA_CENTRE}\n";
    private static final String JOB = "kind: Job\nname: nightly\nteam: seating\ntasks: 1\n" + RESOURCES;
    private static final String ONLY_LEFT = "placement: {workers: [{key: pool, operator: In, values: [w1]}]}\n";

    private final Closer closer = Closer.create();
    private final FakeCluster cluster = closer.register(new FakeCluster());
    private final FakeCluster.Host first = cluster.addHost("e1", "dc1", LEASE);
    private final FakeCluster.Host second = cluster.addHost("e2", "dc2", LEASE);

    @BeforeEach
    void startOperatorParts() {
        for (FakeCluster.Host host : List.of(first, second)) {
            closer.register(OperatorPart.create(
                            ConfigurationSection.create(),
                            null,
                            List.of(host.part),
                            Map.of(),
                            host.part,
                            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                            () -> true))
                    .start(host.context);
        }
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private FakeWorker worker(String id, String dataCentre, FakeCluster.Host host) {
        return closer.register(new FakeWorker(id, dataCentre, host.workers.address()));
    }

    /** Guards against a drained data centre in which tasks stay or start, and a service that is not moved. */
    @Test
    void movesAServiceAndRunsJobsElsewhere() {
        FakeWorker left = worker("w1", "dc1", first);
        cluster.apply(SERVICE);
        await("both replicas run in dc1", () -> runningServiceTasks() == 2);
        FakeWorker right = worker("w2", "dc2", second);
        await(
                "both workers are known",
                () -> get(first, "/v1/workers").path("workers").size() == 2);
        JsonNode forecast = post(first, "/v1/drain", drain("c0", "dc1", ", \"dryRun\": true"))
                .body();
        assertThat(forecast.path("fits").asBoolean()).isTrue();
        assertThat(forecast.path("services").path(0).path("tasks").asInt()).isEqualTo(2);
        assertThat(get(second, "/v1/data-centres/dc1")
                        .path("dataCentre")
                        .path("drained")
                        .asBoolean())
                .isFalse();

        Answer answer = post(first, "/v1/drain", drain("c1", "dc1", ""));

        assertThat(answer.status()).isEqualTo(200);
        await("both replicas have moved", () -> right.runs("service/quotes/0") && right.runs("service/quotes/1"));
        cluster.apply(SERVICE + "---\n" + JOB.replace("400", "50"));
        await("the job completes", () -> jobState().equals("completed"));
        assertThat(left.starts).hasSize(2);
        JsonNode described = get(second, "/v1/data-centres/dc1");
        assertThat(described.path("tasks")).isEmpty();
        JsonNode status = get(second, "/v1/status").path("parts").path("drainedDataCentres");
        assertThat(status.path(0).path("dataCentre").asText()).isEqualTo("dc1");
        assertThat(status.path(0).path("serviceTasks").asInt()).isEqualTo(0);
        assertThat(gauge(second)).isEqualTo(1.0);
    }

    /** Guards against stopping a service's task that fits nowhere else. */
    @Test
    void leavesAServiceTaskThatFitsNowhereElse() {
        FakeWorker left = worker("w1", "dc1", first);
        FakeWorker right = worker("w2", "dc2", second);
        cluster.apply(SERVICE.replace("400", "600"));
        await("both replicas are running", () -> runningServiceTasks() == 2);
        FakeWorker drained = left;
        Answer forecast = post(second, "/v1/drain", drain("c0", "dc1", ", \"dryRun\": true"));
        assertThat(forecast.body().path("fits").asBoolean()).isFalse();

        post(second, "/v1/drain", drain("c1", "dc1", ""));
        pause(3_000);

        assertThat(drained.runs("service/quotes/0") || drained.runs("service/quotes/1"))
                .isTrue();
        assertThat(left.starts.size() + right.starts.size()).isEqualTo(2);
    }

    /** Guards against a job that silently waits, or is called impossible, because of a drain. */
    @Test
    void reportsThatAJobWaitsForADrainedDataCentreAndRunsItAfterwards() {
        FakeWorker left = worker("w1", "dc1", first);
        worker("w2", "dc2", second);
        await(
                "the worker is known",
                () -> get(first, "/v1/workers").path("workers").size() == 2);
        post(first, "/v1/drain", drain("c1", "dc1", ""));
        cluster.apply(JOB + ONLY_LEFT);

        await(
                "the reason is known",
                () -> get(first, "/v1/tasks?owner=job/nightly")
                        .toString()
                        .contains("the workers that could run it are in drained data centres: dc1"));
        assertThat(jobState()).isEqualTo("waiting");
        assertThat(left.starts).isEmpty();

        assertThat(post(second, "/v1/undrain", drain("c2", "dc1", "")).status()).isEqualTo(200);
        await("the job completes", () -> jobState().equals("completed"));
    }

    /** Guards against a resend that is applied twice or answered otherwise than the first request. */
    @Test
    void answersAResentRequestAlikeAndRefusesOtherContentUnderItsChangeId() {
        Answer answer = post(first, "/v1/drain", drain("c1", "dc1", ""));
        assertThat(post(first, "/v1/undrain", drain("c2", "dc1", "")).status()).isEqualTo(200);

        Answer resent = post(second, "/v1/drain", drain("c1", "dc1", ""));

        assertThat(resent).isEqualTo(answer);
        assertThat(get(second, "/v1/data-centres/dc1")
                        .path("dataCentre")
                        .path("drained")
                        .asBoolean())
                .isFalse();
        assertThat(post(first, "/v1/drain", drain("c1", "dc2", "")).status()).isEqualTo(409);
    }

    @ParameterizedTest
    @CsvSource({
        "/v1/drain, '{\"changeId\": \"c1\", \"dataCentre\": \"dc9\"}', 404, not-found",
        "/v1/drain, '{\"changeId\": \"c1\", \"dataCentre\": \"dc9\", \"dryRun\": true}', 404, not-found",
        "/v1/undrain, '{\"changeId\": \"c1\", \"dataCentre\": \"dc9\"}', 404, not-found",
        "/v1/drain, '{\"changeId\": \"c1\", \"dataCentre\": \"d c\"}', 400, invalid-input",
        "/v1/drain, '{\"dataCentre\": \"dc1\"}', 400, invalid-input",
        "/v1/undrain, '{\"changeId\": \"c1\"}', 400, invalid-input",
        "/v1/undrain, '{\"changeId\": \"c1\", \"worker\": \"w1\"}', 400, invalid-input",
    })
    void refusesWhatCannotBeDrainedWithATypedError(String path, String body, int status, String code) {
        Answer answer = post(first, path, body);

        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.body().path("error").asText()).isEqualTo(code);
        assertThat(answer.body().path("remedy").asText()).isNotEmpty();
        assertThat(gauge(first)).isEqualTo(0.0);
    }

    private static String drain(String change, String dataCentre, String more) {
        return "{\"changeId\": \"" + change + "\", \"dataCentre\": \"" + dataCentre + "\"" + more + "}";
    }

    private static double gauge(FakeCluster.Host host) {
        return host.context
                .meters()
                .get("waxwinghead.tasks.data.centres.drained")
                .gauge()
                .value();
    }

    private String jobState() {
        return get(first, "/v1/jobs/nightly").path("state").asText();
    }

    private long runningServiceTasks() {
        long running = 0;
        for (JsonNode task : get(first, "/v1/tasks?owner=service/quotes").path("tasks")) {
            running += task.path("state").asText().equals("running") ? 1 : 0;
        }
        return running;
    }

    private static JsonNode get(FakeCluster.Host host, String path) {
        return send(HttpRequest.newBuilder(uri(host, path)).GET().build()).body();
    }

    private static Answer post(FakeCluster.Host host, String path, String body) {
        return send(HttpRequest.newBuilder(uri(host, path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private static URI uri(FakeCluster.Host host, String path) {
        return URI.create("http://127.0.0.1:" + host.operators.address().getPort() + path);
    }

    private static Answer send(HttpRequest request) {
        try {
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), Manifests.jsonMapper().readTree(response.body()));
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String expectation, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TIMEOUT_NANOS) {
                fail(expectation + " did not happen");
            }
            pause(20);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private record Answer(int status, JsonNode body) {}
}
