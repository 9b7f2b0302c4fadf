package dev.waxwinghead.systemtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.systemtests.ProcessCluster.CommandResult;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the system end to end with three entry hosts in two data centres.
 *
 * <p>The tests run in order, and each depends on the state that the previous one left.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class EndToEndTests {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(9);
    private static final Duration PLACEMENT_TIMEOUT = Duration.ofMinutes(1);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofMinutes(2);
    private static final String MANIFESTS = """
            kind: Service
            name: quotes
            team: seating
            labels: {app: quotes}
            replicas: 3
            resources: {millicores: 500, memoryBytes: 1000000, accelerators: 0}
            placement:
              workers:
                - {key: pool, operator: In, values: [general]}
            ---
            """ + job("nightly");

    private ProcessCluster cluster;

    @BeforeAll
    void startCluster(@TempDir Path folder) throws InterruptedException {
        cluster = ProcessCluster.create(folder);
        cluster.addVoter("e1", "dc1");
        cluster.addVoter("e2", "dc1");
        cluster.addVoter("e3", "dc2");
        cluster.start();
        cluster.startWorker("w1", "dc1", "--labels", "pool=general");
        cluster.startWorker("w2", "dc1", "--labels", "pool=batch");
        cluster.startWorker("w3", "dc2", "--labels", "pool=general");
        cluster.startWorker("w4", "dc2", "--labels", "pool=batch");
    }

    @AfterAll
    void closeCluster() {
        cluster.close();
    }

    private static String job(String name) {
        return """
            kind: Job
            name: %s
            team: seating
            labels: {app: invoices}
            tasks: 4
            resources: {millicores: 1000, memoryBytes: 1000000, accelerators: 0}
            placement:
              workers:
                - {key: pool, operator: In, values: [batch]}
            settings: {runMillis: "1000"}
            """.formatted(name);
    }

    @Test
    @Order(1)
    void putsAnAppliedManifestInForceOnEveryEntryHost() throws Exception {
        CommandResult applied = cluster.apply(MANIFESTS, "--output", "json");

        assertWithMessage(applied.errors()).that(applied.status()).isEqualTo(0);
        assertThat(applied.output()).contains("\"revision\" : 1");
        Await.until(IN_FORCE_TIMEOUT, "revision 1 is in force on every entry host", () -> {
            for (EntryHost host : cluster.hosts()) {
                if (host.revision() != 1) {
                    return false;
                }
            }
            return true;
        });
    }

    @Test
    @Order(2)
    void placesTasksWhereTheirSelectorsAllow() throws Exception {
        awaitJob("nightly");
        Await.until(
                PLACEMENT_TIMEOUT, "three tasks of the service run", () -> countRunningTasks("service/quotes") == 3);

        Set<String> serviceWorkers = new HashSet<>();
        Set<String> jobWorkers = new HashSet<>();
        for (RecordLine line : cluster.recordLines()) {
            if (line.event().equals("start")) {
                (line.task().startsWith("service/") ? serviceWorkers : jobWorkers).add(line.worker());
            }
        }
        assertThat(Set.of("w1", "w3")).containsAtLeastElementsIn(serviceWorkers);
        assertThat(Set.of("w2", "w4")).containsAtLeastElementsIn(jobWorkers);
    }

    private long countRunningTasks(String owner) throws Exception {
        JsonNode tasks = Http.getJson(
                        cluster.host("e2").operatorAddress(), "/v1/tasks?owner=" + owner.replace("/", "%2F"))
                .path("tasks");
        long running = 0;
        for (JsonNode task : tasks) {
            running += task.path("state").asText().equals("running") ? 1 : 0;
        }
        return running;
    }

    private void awaitJob(String name) throws InterruptedException {
        Await.until(COMPLETION_TIMEOUT, "describe says that job " + name + " completed", () -> {
            CommandResult described = cluster.runCommand("describe", "job", name);
            return described.status() == 0 && described.output().contains("\nstate: completed\n");
        });
    }

    @Test
    @Order(3)
    void returnsTheWholeAnswerThroughEveryEntryHost() throws Exception {
        for (EntryHost host : cluster.hosts()) {
            Await.until(PLACEMENT_TIMEOUT, host.id() + " knows an upstream", () -> isAnswered(host, "/echo?a=1"));
            assertCompleteAnswer(host, "/bytes/300000", 300_000);
        }
    }

    private static HttpResponse<byte[]> call(EntryHost host, String path) throws Exception {
        return Http.send(
                Http.request(host.callerAddress(), "/call/quotes" + path).build());
    }

    private static boolean isAnswered(EntryHost host, String path) throws Exception {
        return call(host, path).headers().firstValue("Waxwinghead-Outcome").equals(java.util.Optional.of("answered"));
    }

    private static void assertCompleteAnswer(EntryHost host, String path, int size) throws Exception {
        HttpResponse<byte[]> answer = call(host, path);
        String digest =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(answer.body()));
        assertWithMessage(new String(
                        answer.body(), 0, Math.min(answer.body().length, 300), java.nio.charset.StandardCharsets.UTF_8))
                .that(answer.statusCode())
                .isEqualTo(200);
        assertThat(answer.headers().firstValue("Waxwinghead-Outcome")).hasValue("answered");
        assertThat(answer.headers().firstValue("Body-Digest")).hasValue(digest);
        assertThat(answer.body()).hasLength(size);
    }

    @Test
    @Order(4)
    void servesThroughTheOtherEntryHostsAfterOneIsKilled() throws Exception {
        cluster.host("e1").process().kill();

        for (int i = 0; i < 20; i++) {
            assertCompleteAnswer(cluster.host("e2"), "/bytes/1000", 1_000);
            assertCompleteAnswer(cluster.host("e3"), "/bytes/1000", 1_000);
        }
        CommandResult applied = cluster.apply(job("second"));
        assertWithMessage(applied.errors()).that(applied.status()).isEqualTo(0);
        awaitJob("second");
    }

    @Test
    @Order(5)
    void startsNoAttemptTwice() throws Exception {
        List<String> starts = cluster.recordLines().stream()
                .filter(line -> line.event().equals("start"))
                .map(line -> line.task() + " " + line.attempt())
                .toList();

        assertThat(starts).containsNoDuplicates();
    }

    @Test
    @Order(6)
    void keepsAcceptedJobsAfterEveryEntryHostIsKilled() throws Exception {
        for (EntryHost host : cluster.hosts()) {
            host.process().kill();
        }
        for (EntryHost host : cluster.hosts()) {
            host.start();
        }
        for (EntryHost host : cluster.hosts()) {
            host.awaitReady();
            cluster.awaitMajority(host);
        }

        CommandResult read = cluster.runCommand("get", "jobs");

        assertThat(read.output()).containsMatch("nightly .*\nsecond ");
    }
}
