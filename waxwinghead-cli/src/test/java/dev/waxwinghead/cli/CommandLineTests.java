package dev.waxwinghead.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.waxwinghead.cli.command.CommandContext;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTests {
    private static final String JOB = """
            kind: Job
            name: nightly
            team: seating
            tasks: 2
            resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}
            """;
    private static final String NO_MAJORITY =
            "{\"error\": \"no-majority\", \"message\": \"no majority; wait\", \"remedy\": \"wait\"}";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private StubOperatorHost host;

    @BeforeEach
    void openHost() throws IOException {
        host = StubOperatorHost.open();
    }

    @AfterEach
    void closeHost() {
        host.close();
    }

    private int runWith(String input, String entryHosts, String... arguments) {
        CommandLine commandLine = new CommandLine(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        return commandLine.run(
                arguments,
                new CommandContext(
                        Map.of("WAXWINGHEAD_ENTRY_HOSTS", entryHosts),
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8))));
    }

    private int run(String... arguments) {
        return runWith(JOB, host.port(), arguments);
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    private static String changeIdOf(String body) throws IOException {
        return new ObjectMapper().readTree(body).path("changeId").asText();
    }

    @Nested
    class Usage {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "apply",
                    "apply -f - --colour red",
                    "describe job",
                    "get planets",
                    "get jobs --output xml",
                    "get jobs --timeout 5",
                    "apply -f - --expected-revision -1",
                    "apply -f - --change-id a%b",
                    "delete job",
                    "drain star w1",
                    "drain data-centre",
                    "drain worker w1 --dry-run",
                    "undrain worker w1",
                    "undrain data-centre",
                    "config check",
                    "config check - --output xml",
                    "cancel",
                    "members remove",
                    "shout",
                })
        void exitsWithStatusTwoAndNamesARemedy(String arguments) {
            int status = run(arguments.split(" ", -1));

            assertThat(status).isEqualTo(2);
            assertThat(errors()).contains("; ");
            assertThat(host.bodies()).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "get jobs",
                    "describe job a",
                    "delete job a",
                    "drain worker a",
                    "undrain data-centre a",
                    "cancel a",
                    "status"
                })
        void reportsUnknownOption(String command) {
            int status = run((command + " --colour red").split(" ", -1));

            assertThat(status).isEqualTo(2);
            assertThat(errors()).contains("--colour");
        }

        @Test
        void reportsAllProblemsAtOnce() {
            runWith(JOB, "localhost:80", "get", "planets", "--output", "xml", "--timeout", "now");

            assertThat(errors()).contains("kind 'planets'");
            assertThat(errors()).contains("--output is 'xml'");
            assertThat(errors()).contains("--timeout is 'now'");
            assertThat(errors()).contains("--entry-hosts has 'localhost:80'");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "apply",
                    "get",
                    "describe",
                    "delete",
                    "status",
                    "drain",
                    "undrain",
                    "cancel",
                    "members remove",
                    "config check"
                })
        void showsHelpOfEachCommand(String command) {
            int status = run((command + " --help").split(" ", -1));

            assertThat(status).isEqualTo(0);
            assertThat(output()).contains("--entry-hosts");
        }
    }

    @Nested
    class Apply {
        @Test
        void sendsManifestsAndShowsNewRevision() throws IOException {
            host.reply("/v1/changes", 200, "{\"revision\": 5, \"replayed\": false}");

            int status = run("apply", "-f", "-", "--expected-revision", "4", "--change-id", "c1");

            assertThat(status).isEqualTo(0);
            assertThat(output()).isEqualTo("Job/nightly applied\nrevision 5, change c1\n");
            JsonNode sent = new ObjectMapper().readTree(host.bodies().get(0));
            assertThat(sent.path("manifests").asText()).isEqualTo(JOB);
            assertThat(sent.path("expectedRevision").asLong()).isEqualTo(4);
        }

        @Test
        void doesNotSendMalformedManifests() {
            int status = runWith(JOB + "colour: red\n", host.port(), "apply", "-f", "-");

            assertThat(status).isEqualTo(3);
            assertThat(host.bodies()).isEmpty();
        }

        @Test
        void showsConflictingChange() {
            host.reply("/v1/changes", 409, """
                    {"error": "conflict", "message": "revision 5 is in force, made by change c7; read it again",
                     "remedy": "read it again", "revision": 5, "winner": "c7"}""");

            int status = run("apply", "-f", "-", "--expected-revision", "4");

            assertThat(status).isEqualTo(5);
            assertThat(errors()).isEqualTo("waxwinghead: revision 5 is in force, made by change c7; read it again\n");
        }
    }

    @Nested
    class EntryHosts {
        @Test
        void triesNextEntryHostWhenOneIsUnreachable() {
            host.reply("/v1/changes", 200, "{\"revision\": 5, \"replayed\": false}");

            assertThat(runWith(JOB, "127.0.0.1:1," + host.port(), "apply", "-f", "-"))
                    .isEqualTo(0);
        }

        @ParameterizedTest
        @CsvSource({"0", "503"})
        void resendsWithSameChangeId(int status) throws IOException {
            try (StubOperatorHost second = StubOperatorHost.open()) {
                host.reply("/v1/changes", status, NO_MAJORITY);
                second.reply("/v1/changes", 200, "{\"revision\": 5, \"replayed\": true}");

                runWith(JOB, host.port() + "," + second.port(), "apply", "-f", "-");

                assertThat(output()).contains("accepted earlier");
                assertThat(changeIdOf(second.bodies().get(0)))
                        .isEqualTo(changeIdOf(host.bodies().get(0)));
            }
        }

        @ParameterizedTest
        @CsvSource({"0, 8, --change-id", "503, 7, wait"})
        void distinguishesUnknownOutcomeFromRefusal(int reply, int exitStatus, String remedy) {
            host.reply("/v1/changes", reply, NO_MAJORITY);

            assertThat(run("apply", "-f", "-", "--timeout", "600ms")).isEqualTo(exitStatus);
            assertThat(errors()).contains(remedy);
        }

        @Test
        void failsWithRemedyWhenNoEntryHostAnswers() {
            assertThat(runWith(JOB, "127.0.0.1:1", "status", "--timeout", "300ms"))
                    .isEqualTo(7);
            assertThat(errors()).contains("check --entry-hosts");
        }

        @Test
        void drainsOnlyTheNamedEntryHost() {
            host.reply("/v1/drain", 200, "{\"draining\": \"e2\"}");

            assertThat(runWith(JOB, "127.0.0.1:1", "drain", "host", host.port()))
                    .isEqualTo(0);
            assertThat(host.bodies().get(0)).contains("\"host\":true");
        }
    }

    @Nested
    class Output {
        @Test
        void showsReasonOfWaitingTask() {
            host.reply("/v1/resources/job/nightly", 200, """
                    {"revision": 5, "entries": [{"key": "Job/nightly", "revision": 5,
                     "manifest": {"kind": "Job", "name": "nightly", "tasks": 2}}]}""");
            host.reply("/v1/jobs/nightly", 200, """
                    {"name": "nightly", "state": "waiting", "tasks": 1, "waiting": 1, "reason": null}""");
            host.reply("/v1/tasks?owner=job%2Fnightly", 200, """
                    {"tasks": [{"task": "job/nightly/0", "attempt": 0, "state": "waiting", "worker": null,
                     "reason": "no worker has 500 free millicores"}]}""");

            assertThat(run("describe", "job", "nightly")).isEqualTo(0);
            assertThat(output()).contains("state: waiting\n");
            assertThat(output()).contains("no worker has 500 free millicores");
        }

        @Test
        void returnsTypedErrorForUnknownName() {
            host.reply("/v1/resources/job/daily", 200, "{\"revision\": 5, \"entries\": []}");

            assertThat(run("get", "jobs", "daily", "--output", "json")).isEqualTo(4);
            assertThat(output()).contains("\"error\" : \"not-found\"");
        }

        @Test
        void showsWorkersInTable() {
            host.reply("/v1/workers", 200, """
                    {"workers": [{"worker": "w1", "dataCentre": "dc1", "rack": "r1", "state": "ready",
                     "capacity": {"millicores": 16000, "memoryBytes": 60, "accelerators": 0},
                     "committed": {"millicores": 500, "memoryBytes": 10, "accelerators": 0},
                     "labels": {"pool": "general"}, "lastHeardAgoMillis": 120}]}""");

            run("get", "workers");

            assertThat(output()).contains("w1      dc1          r1    ready  500/16000   10/60");
        }

        @Test
        void showsRevisionOfEachEntryHost() {
            host.reply("/v1/status", 200, """
                    {"host": "e1", "dataCentre": "dc1", "revision": 5, "parts": {"tasks": 3},
                     "log": {"leader": "e2", "term": 3, "committedIndex": 9, "appliedIndex": 9,
                      "majorityInReach": false, "outOfContactSinceEpochMillis": 0,
                      "members": [{"host": "e1", "voter": true}]},
                     "peers": [{"host": "e2", "dataCentre": "dc2", "connected": false, "lastHeardAgoMillis": 2500,
                      "revision": 4}]}""");

            run("status");

            assertThat(output()).contains("majority: out of reach since 1970-01-01T00:00:00Z");
            assertThat(output()).contains("e2    dc2          4         no         2.5s ago");
        }
    }

    @Nested
    class DataCentres {
        private static final String ROW = """
                {"dataCentre": "dc1", "drained": true, "drainedAtIndex": 57, "scheduler": "e1", "serviceTasks": 2,
                 "jobTasks": 1}""";

        private JsonNode sent() throws IOException {
            return new ObjectMapper().readTree(host.bodies().get(0));
        }

        @Test
        void drainsAndUndrainsUnderTheChangeId() throws IOException {
            host.reply("/v1/drain", 200, "{\"draining\": \"dc1\", \"index\": 57}");
            host.reply("/v1/undrain", 200, "{\"undrained\": \"dc1\", \"index\": 60}");

            assertThat(run("drain", "data-centre", "dc1", "--change-id", "c1")).isEqualTo(0);
            assertThat(run("undrain", "data-centre", "dc1", "--change-id", "c2"))
                    .isEqualTo(0);

            assertThat(sent().path("dataCentre").asText()).isEqualTo("dc1");
            assertThat(sent().path("changeId").asText()).isEqualTo("c1");
            assertThat(sent().has("dryRun")).isFalse();
            assertThat(output()).isEqualTo("""
                    data-centre dc1 drains, index 57, change c1
                    data-centre dc1 is not drained, index 60, change c2
                    """);
        }

        @Test
        void tellsInADryRunWhatFitsElsewhere() throws IOException {
            host.reply("/v1/drain", 200, """
                    {"dataCentre": "dc1", "drained": false, "fits": false, "jobTasks": 4,
                     "services": [{"service": "quotes", "tasks": 3, "fitElsewhere": 2}]}""");

            assertThat(run("drain", "data-centre", "dc1", "--dry-run")).isEqualTo(0);

            assertThat(sent().path("dryRun").asBoolean()).isTrue();
            assertThat(output()).isEqualTo("""
                    data-centre dc1 is not drained
                    tasks of services fit elsewhere: no
                    tasks of jobs that run to completion: 4

                    SERVICE  TASKS  FIT-ELSEWHERE
                    quotes   3      2
                    """);
        }

        @Test
        void exitsWithTheStatusOfNotFoundForAnUnknownDataCentre() {
            host.reply("/v1/drain", 404, """
                    {"error": "not-found", "message": "there is no data centre 'dc9'; known are dc1; see 'get data-centres'",
                     "remedy": "see 'get data-centres'"}""");

            assertThat(run("drain", "data-centre", "dc9")).isEqualTo(4);
            assertThat(errors()).contains("known are dc1; see 'get data-centres'");
        }

        @Test
        void describesWhatStillRunsInADataCentre() {
            host.reply("/v1/data-centres/dc1", 200, "{\"dataCentre\": " + ROW + """
                    , "tasks": [{"task": "service/quotes/0", "attempt": 1, "state": "running", "worker": "w1",
                     "dataCentre": "dc1"}]}""");

            assertThat(run("describe", "data-centre", "dc1")).isEqualTo(0);

            assertThat(output()).contains("dc1          yes      57     e1         2              1\n");
            assertThat(output()).contains("service/quotes/0  1        running  w1");
        }

        @Test
        void showsDrainedDataCentresInTheStatus() {
            host.reply("/v1/status", 200, """
                    {"host": "e1", "dataCentre": "dc1", "revision": 5, "log": {}, "peers": [],
                     "parts": {"tasks": 3, "drainedDataCentres": [""" + ROW + "]}}");

            assertThat(run("status")).isEqualTo(0);

            assertThat(output()).contains("drained data centres and what still runs there:\n");
            assertThat(output()).contains("dc1          yes      57     e1");
            assertThat(output()).doesNotContain("drainedDataCentres");
        }

        @Test
        void listsDataCentres() {
            host.reply("/v1/data-centres", 200, "{\"dataCentres\": [" + ROW + "]}");

            assertThat(run("get", "data-centres")).isEqualTo(0);
            assertThat(output()).contains("dc1          yes");
            assertThat(run("get", "data-centre", "dc9")).isEqualTo(4);
        }
    }

    /** Guards against a check that applies the file, or whose exit status hides a finding. */
    @Nested
    class ConfigCheck {
        private static final String INVALID = JOB.replace("tasks: 2", "tasks: 0");

        @Test
        void exitsWithStatusZeroWithoutFindings() {
            assertThat(run("config", "check", "-")).isEqualTo(0);
            assertThat(output()).isEqualTo("0 findings\n");
            assertThat(host.bodies()).isEmpty();
        }

        @Test
        void exitsWithStatusOneAndNamesTheLineAndTheRemedy() {
            assertThat(runWith(INVALID, host.port(), "config", "check", "-")).isEqualTo(1);
            assertThat(output()).isEqualTo("-:4: invalid: tasks is 0; give a value from 1 to 100000\n1 finding\n");
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "kind: {Job"})
        void exitsWithStatusTwoForATextThatIsNoManifest(String text) {
            assertThat(runWith(text, host.port(), "config", "check", "-")).isEqualTo(2);
        }

        @Test
        void exitsWithStatusTwoForAMissingFile() {
            assertThat(run("config", "check", "/no/such/file", "--output", "json"))
                    .isEqualTo(2);
            assertThat(output()).contains("\"error\" : \"invalid-input\"");
        }

        @Test
        void showsFindingsAsJson() throws IOException {
            assertThat(runWith(INVALID, host.port(), "config", "check", "-", "--output", "json"))
                    .isEqualTo(1);

            JsonNode finding =
                    new ObjectMapper().readTree(output()).path("findings").path(0);
            assertThat(finding.path("line").asInt()).isEqualTo(4);
            assertThat(finding.path("kind").asText()).isEqualTo("invalid");
            assertThat(finding.path("remedy").asText()).isEqualTo("give a value from 1 to 100000");
        }

        @Test
        void comparesWithTheConfigurationInForce() {
            host.reply("/v1/configuration", 200, """
                    {"revision": 5, "entries": [{"key": "Quota/seating", "revision": 4, "manifest": {"kind": "Quota",
                     "name": "seating", "limit": {"millicores": 1, "memoryBytes": 1, "accelerators": 0},
                     "mayBorrow": false}}]}""");

            assertThat(run("config", "check", "-", "--against-current")).isEqualTo(1);

            assertThat(output()).contains("-:1: contradiction: Job/nightly: a task needs 500 millicores");
            assertThat(output()).contains("""

                    compared with revision 5:
                    added: Job/nightly
                    changed: -
                    unchanged: -
                    onlyInForce: Quota/seating
                    """);
        }
    }
}
