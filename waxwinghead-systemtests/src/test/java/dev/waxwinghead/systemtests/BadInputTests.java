package dev.waxwinghead.systemtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.waxwinghead.systemtests.ProcessCluster.CommandResult;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends invalid input to the programs over their public interfaces and flags.
 *
 * <p>After each test the configuration must still be empty and the host ready.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTests {
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;
    private static final Duration EXIT_TIMEOUT = Duration.ofMinutes(1);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String GOOD_JOB = """
            kind: Job
            name: good
            team: seating
            tasks: 1
            resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}
            ---
            """;
    private static final String JOB = """
            kind: Job
            name: nightly
            team: seating
            tasks: 1
            resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}
            placement: {workers: [{key: pool, operator: In, values: [general]}]}
            """;

    private Path folder;
    private ProcessCluster cluster;
    private EntryHost host;

    @BeforeAll
    void startHost(@TempDir Path folder) throws InterruptedException {
        this.folder = folder;
        cluster = ProcessCluster.create(folder);
        host = cluster.addVoter("e1", "dc1");
        cluster.start();
    }

    @AfterAll
    void closeCluster() {
        cluster.close();
    }

    @AfterEach
    void assertNothingIsInForceAndTheHostIsReady() throws Exception {
        JsonNode configuration = Http.getJson(host.operatorAddress(), "/v1/configuration");
        assertThat(configuration.path("revision").asLong(-1)).isEqualTo(0);
        assertThat(configuration.path("entries")).isEmpty();
        assertThat(Http.status(host.operatorAddress(), "/readyz")).isEqualTo(200);
    }

    private static void assertError(HttpResponse<byte[]> answer, int status, String error) throws IOException {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        assertWithMessage(body).that(answer.statusCode()).isEqualTo(status);
        assertThat(Http.json(answer).path("error").asText()).isEqualTo(error);
        assertThat(Http.json(answer).path("remedy").asText()).isNotEmpty();
    }

    @Nested
    class Manifests {
        @ParameterizedTest
        @CsvSource({
            "tasks: 1, 'tasks: 1\ncolour: red', colour",
            "500, -500, millicores is -500",
            "operator: In, operator: Near, selector operator 'Near' is unknown",
            "tasks: 1, tasks: 0, give a value from 1",
            "kind: Job, kind: Task, Task",
        })
        void rejectsAllManifestsIfOneIsInvalid(String good, String bad, String expectedText) throws Exception {
            String text = GOOD_JOB + JOB.replace(good, bad);

            String body = MAPPER.writeValueAsString(Map.of("changeId", "c1", "manifests", text));
            HttpResponse<byte[]> answer = Http.post(host.operatorAddress(), "/v1/changes", body);
            CommandResult applied = cluster.apply(text);

            assertError(answer, 400, "invalid-input");
            assertThat(Http.json(answer).path("message").asText()).contains(expectedText);
            assertThat(applied.status()).isEqualTo(3);
            assertThat(applied.errors()).contains(expectedText);
        }
    }

    @Nested
    class Bodies {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "null",
                    "[]",
                    "{\"changeId\": \"c1\"",
                    "{\"changeId\": \"c1\", \"manifests\": \"kind: Job\", \"colour\": \"red\"}",
                    "{\"changeId\": \"c1\"}",
                    "{\"changeId\": \"a b\", \"delete\": [\"Job/nightly\"]}",
                    "{\"changeId\": \"c1\", \"delete\": [\"nightly\"]}",
                })
        void rejectsMalformedChanges(String body) throws Exception {
            assertError(Http.post(host.operatorAddress(), "/v1/changes", body), 400, "invalid-input");
        }

        @Test
        void rejectsOversizedChanges() throws Exception {
            String body = "{\"changeId\": \"c1\", \"manifests\": \"" + "#".repeat(9 * 1024 * 1024) + "\"}";

            assertError(Http.post(host.operatorAddress(), "/v1/changes", body), 413, "too-large");
        }

        @ParameterizedTest
        @ValueSource(strings = {"/v1/changes", "/worker/v1/poll"})
        void ignoresTruncatedBodies(String path) throws Exception {
            String address = path.startsWith("/v1") ? host.operatorAddress() : host.workerAddress();
            String body = MAPPER.writeValueAsString(Map.of("changeId", "c1", "manifests", JOB));
            String head =
                    "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + (body.length() + 1) + "\r\n\r\n";

            String answer = sendAndReadToEnd(address, (head + body).getBytes(StandardCharsets.UTF_8));

            assertThat(answer).doesNotContain("HTTP/1.1 200");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{}",
                    "{\"worker\": {\"id\": \"w1\"}}",
                    "{\"worker\": {\"id\": \"w1\", \"incarnation\": 1, \"dataCentre\": \"dc1\", \"rack\": \"r1\","
                            + " \"capacity\": {\"millicores\": -1, \"memoryBytes\": 1, \"accelerators\": 0}},"
                            + " \"schedulerTerm\": 0, \"tasks\": []}",
                })
        void rejectsMalformedPolls(String body) throws Exception {
            assertError(Http.post(host.workerAddress(), "/worker/v1/poll", body), 400, "invalid-input");
        }

        @ParameterizedTest
        @ValueSource(strings = {"address", "state", "slots"})
        void rejectsMalformedAnnouncements(String field) throws Exception {
            Map<String, Object> announcement = new java.util.HashMap<>(Map.of(
                    "upstream",
                    "service/quotes/0:1",
                    "service",
                    "quotes",
                    "address",
                    "127.0.0.1:9001",
                    "dataCentre",
                    "dc1",
                    "worker",
                    "w1",
                    "slots",
                    8,
                    "connections",
                    64,
                    "state",
                    "serving"));
            announcement.put(field, field.equals("slots") ? -1 : "nowhere");

            HttpResponse<byte[]> answer =
                    Http.post(host.workerAddress(), "/upstream/v1/announce", MAPPER.writeValueAsString(announcement));

            assertError(answer, 400, "invalid-input");
        }
    }

    @Nested
    class Frames {
        @ParameterizedTest
        @ValueSource(
                strings = {"GET / HTTP/1.1\r\n\r\n", "\u007f\u007f\u007f\u007fabcdefgh", "\u0000\u0000\u0000\u0001"})
        void keepsRunningAfterMalformedFrames(String bytes) throws Exception {
            sendAndReadToEnd(host.peerAddress(), bytes.getBytes(StandardCharsets.ISO_8859_1));

            assertThat(host.process().isRunning()).isTrue();
        }
    }

    @Nested
    class Flags {
        @Test
        void daemonReportsAllInvalidFlagsAtOnce() throws Exception {
            ManagedProcess daemon = ManagedProcess.start(
                    "bad",
                    "dev.waxwinghead.daemon.DaemonMain",
                    folder.resolve("bad-daemon.log"),
                    List.of("--caller-listen", "localhost:1", "--worker-lease", "-3s", "--host", "a b"));

            assertThat(daemon.awaitExit(EXIT_TIMEOUT)).isEqualTo(2);
            assertThat(daemon.log()).contains("--caller-listen is 'localhost:1'");
            assertThat(daemon.log()).contains("--worker-lease is '-3s'");
            assertThat(daemon.log()).contains("--cluster is missing; give --cluster or set WAXWINGHEAD_CLUSTER");
        }

        @Test
        void daemonExitsOnAnUnknownFlag() throws Exception {
            ManagedProcess daemon = ManagedProcess.start(
                    "unknown",
                    "dev.waxwinghead.daemon.DaemonMain",
                    folder.resolve("unknown-daemon.log"),
                    List.of("--colour", "red"));

            assertThat(daemon.awaitExit(EXIT_TIMEOUT)).isEqualTo(2);
            assertThat(daemon.log()).contains("--colour");
            assertThat(daemon.log()).contains("--help");
        }

        @Test
        void commandLineExitsOnAnUnknownFlag() throws Exception {
            CommandResult result = cluster.runCommand("get", "jobs", "--colour", "red");

            assertThat(result.status()).isEqualTo(2);
            assertThat(result.errors()).contains("--colour");
        }
    }

    @Nested
    class Calls {
        @ParameterizedTest
        @CsvSource({
            "Waxwinghead-Deadline-Ms, soon",
            "Waxwinghead-Deadline-Ms, -1",
            "Waxwinghead-Deadline-Ms, 3600001",
            "Waxwinghead-Kind, twice",
            "Waxwinghead-Tenant, a b",
            "Waxwinghead-Class, a/b",
        })
        void doesNotRunCallsWithMalformedHeaders(String header, String value) throws Exception {
            HttpResponse<byte[]> answer = Http.send(Http.request(host.callerAddress(), "/call/quotes/echo")
                    .header(header, value)
                    .build());

            assertError(answer, 400, "invalid-input");
            assertThat(answer.headers().firstValue("Waxwinghead-Outcome")).hasValue("not-run");
        }

        @Test
        void doesNotRunCallsToAnUnknownService() throws Exception {
            HttpResponse<byte[]> answer = Http.send(
                    Http.request(host.callerAddress(), "/call/planets/echo").build());

            assertError(answer, 404, "not-found");
        }
    }

    /** Sends bytes, shuts down output and returns all bytes received until the peer closes the connection. */
    private static String sendAndReadToEnd(String address, byte[] bytes) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(bytes);
            output.flush();
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
