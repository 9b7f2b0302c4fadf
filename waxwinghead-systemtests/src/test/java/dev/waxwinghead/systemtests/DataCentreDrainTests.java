package dev.waxwinghead.systemtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.systemtests.ProcessCluster.CommandResult;
import dev.waxwinghead.testkit.relay.TcpRelay;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Drains the data centre dc2, whose only entry host has no vote: it acts as the scheduler and never leads the log. Its
 * connections pass relays, so that a drain is committed by the voters while their answers to it are held back.
 */
class DataCentreDrainTests {
    private static final Duration TIMEOUT = Duration.ofMinutes(1);
    private static final String DRAIN = "{\"changeId\": \"c1\", \"dataCentre\": \"dc2\"}";
    private static final String JOB = """
            kind: Job
            name: %s
            team: seating
            tasks: 2
            resources: {millicores: 500, memoryBytes: 1000000, accelerators: 0}
            placement:
              workers:
                - {key: pool, operator: In, values: [%s]}
            settings: {runMillis: "200"}
            """;

    @TempDir
    private Path folder;

    private final Closer closer = Closer.create();
    private final Map<String, TcpRelay> relays = new HashMap<>();
    private ProcessCluster cluster;
    private EntryHost scheduler;

    @BeforeEach
    void startCluster() throws InterruptedException {
        cluster = closer.register(ProcessCluster.create(folder));
        for (String voter : List.of("e1", "e2", "e3")) {
            EntryHost host = cluster.addVoter(voter, "dc1");
            relays.put(voter, closer.register(TcpRelay.open(address("127.0.0.1:0"), address(host.peerAddress()))));
        }
        scheduler = cluster.addLearner("e4", "dc2");
        cluster.route((from, to) -> from.equals("e4")
                ? "127.0.0.1:" + relays.get(to).address().getPort()
                : cluster.host(to).peerAddress());
        cluster.start();
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private static InetSocketAddress address(String text) {
        int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static JsonNode dataCentre(EntryHost host) throws Exception {
        return Http.getJson(host.operatorAddress(), "/v1/data-centres/dc2").path("dataCentre");
    }

    private static CompletableFuture<Integer> postAsync(EntryHost host) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return Http.post(host.operatorAddress(), "/v1/drain", DRAIN).statusCode();
            } catch (IOException | InterruptedException e) {
                return 0;
            }
        });
    }

    private JsonNode resend(EntryHost host) throws Exception {
        HttpResponse<byte[]> answer = Http.post(host.operatorAddress(), "/v1/drain", DRAIN);
        assertThat(answer.statusCode()).isEqualTo(200);
        return Http.json(answer);
    }

    private void awaitJobCompleted(String name) throws InterruptedException {
        Await.until(TIMEOUT, "job " + name + " completed", () -> {
            CommandResult described = cluster.runCommand("describe", "job", name);
            return described.output().contains("\nstate: completed\n");
        });
    }

    /**
     * Guards against a drain that is applied twice, lost or answered otherwise when the acting scheduler is killed
     * between the commit and the answer, and against one that is lost with all processes.
     */
    @Test
    void answersTheResentDrainAlikeAfterTheActingSchedulerIsKilledBeforeItsAnswer() throws Exception {
        Await.until(
                TIMEOUT,
                "e4 acts",
                () -> dataCentre(cluster.host("e1")).path("scheduler").asText().equals("e4"));
        relays.values().forEach(TcpRelay::freezeReplies);
        CompletableFuture<Integer> lost = postAsync(scheduler);
        Await.until(
                TIMEOUT,
                "the drain is committed",
                () -> dataCentre(cluster.host("e2")).path("drained").asBoolean());
        scheduler.process().kill();
        assertWithMessage("status of the answer to the first request")
                .that(lost.get())
                .isNotEqualTo(200);
        relays.values().forEach(TcpRelay::heal);
        long index = dataCentre(cluster.host("e2")).path("drainedAtIndex").asLong();

        JsonNode resent = resend(cluster.host("e1"));

        assertThat(resent.path("draining").asText()).isEqualTo("dc2");
        assertThat(resent.path("index").asLong()).isEqualTo(index);
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
        assertThat(resend(cluster.host("e3"))).isEqualTo(resent);
        assertThat(resend(scheduler)).isEqualTo(resent);
        assertDrainedUntilUndrained();
    }

    private void assertDrainedUntilUndrained() throws Exception {
        cluster.startWorker("w1", "dc1", "--labels", "pool=left");
        cluster.startWorker("w2", "dc2", "--labels", "pool=right");
        assertThat(cluster.apply(JOB.formatted("left", "left") + "---\n" + JOB.formatted("right", "right"))
                        .status())
                .isEqualTo(0);
        awaitJobCompleted("left");
        Await.until(
                TIMEOUT,
                "describe names the drain",
                () -> cluster.runCommand("describe", "job", "right").output().contains("in drained data centres: dc2"));
        assertThat(cluster.runCommand("status").output()).contains("drained data centres and what still runs there:");
        assertThat(cluster.runCommand("drain", "data-centre", "dc9").status()).isEqualTo(4);
        assertThat(cluster.recordLines().stream().map(RecordLine::worker)).doesNotContain("w2");

        CommandResult undrained = cluster.runCommand("undrain", "data-centre", "dc2");

        assertWithMessage(undrained.errors()).that(undrained.status()).isEqualTo(0);
        awaitJobCompleted("right");
    }
}
