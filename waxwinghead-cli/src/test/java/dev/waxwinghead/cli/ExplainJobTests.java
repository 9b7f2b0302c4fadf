package dev.waxwinghead.cli;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.cli.command.CommandContext;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainJobTests {
    private static final String ACCEPTED =
            "{\"at\":1000,\"event\":\"job-accepted\",\"job\":\"j1\",\"class\":\"quote\",\"classesVersion\":7,\"outcome\":\"APPLIED\"}\n";
    private static final String STARTED =
            "{\"at\":9000,\"event\":\"task-start\",\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"attempt\":1,\"worker\":\"w1\",\"epoch\":4}\n";
    private static final String FAILED =
            "{\"at\":9500,\"event\":\"task-end\",\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"attempt\":1,\"worker\":\"w1\",\"how\":\"failed\"}\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String input, String... arguments) {
        CommandLine commandLine = new CommandLine(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
        return commandLine.run(arguments, new CommandContext(Map.of(), new ByteArrayInputStream(bytes)));
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void explainsWhyJobWasRefused() {
        String refused = "{\"at\":2000,\"event\":\"request-failed\",\"method\":\"POST\",\"path\":\"/quote/j1\","
                + "\"status\":404,\"kind\":\"NOT_FOUND\",\"message\":\"version 7 has no job class\"}\n";
        assertThat(run(refused, "explain", "job", "j1")).isEqualTo(0);
        assertThat(output()).contains("Refused with 404 (NOT_FOUND): version 7 has no job class.");
        assertThat(output()).contains("No log line shows that the job was accepted.");
    }

    @Test
    void explainsWhyAcceptedJobWasLate() {
        String end = "{\"at\":12000,\"event\":\"job-end\",\"job\":\"j1\",\"class\":\"quote\",\"state\":\"done\","
                + "\"millis\":11000,\"objectiveMillis\":3000}\n";
        String stop = "{\"at\":9100,\"event\":\"task-stop\",\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"attempt\":1,"
                + "\"worker\":\"w1\",\"reason\":\"disturbs-serving-tasks\"}\n";
        run(end + stop + STARTED + ACCEPTED, "explain", "job", "j1");
        assertThat(output()).contains("The first task was started 8000 ms after the job was accepted.");
        assertThat(output()).contains("1 runs were stopped: disturbs-serving-tasks.");
        assertThat(output())
                .contains(
                        "The job ended in state done after 11000 ms; its objective was 3000 ms, so the job was late.");
    }

    @Test
    void showsLongestIdleTimeBetweenRuns() {
        String again = STARTED.replace("9000", "14000").replace("\"attempt\":1", "\"attempt\":2");
        run(ACCEPTED + STARTED + FAILED + again, "explain", "job", "j1");
        assertThat(output()).contains("Between two runs, no task of the job ran for up to 4500 ms.");
    }

    @Test
    void showsWorkersOnWhichRunsFailed() {
        String end = "{\"at\":9600,\"event\":\"job-end\",\"job\":\"j1\",\"class\":\"quote\",\"state\":\"failed\","
                + "\"millis\":8600,\"objectiveMillis\":9000}\n";
        run(ACCEPTED + STARTED + FAILED + end, "explain", "job", "j1");
        assertThat(output()).contains("1 of the failed runs were on worker w1.");
        assertThat(output()).contains("The job ended in state failed after 8600 ms");
    }

    @Test
    void explainsWhyJobWasGivenUp() {
        String crash = "{\"at\":9400,\"event\":\"worker-crashed\",\"job\":\"j1\",\"task\":\"j1.0.0.0\","
                + "\"attempt\":1,\"worker\":\"w1\",\"crashes\":3}\n";
        String givenUp =
                "{\"at\":9401,\"event\":\"job-given-up\",\"job\":\"j1\",\"task\":\"j1.0.0.0\"," + "\"crashes\":3}\n";
        run(ACCEPTED + STARTED + crash + givenUp, "explain", "job", "j1");
        assertThat(output()).contains("Worker w1 crashed under task j1.0.0.0, attempt 1.");
        assertThat(output()).contains("The job was given up: 3 workers crashed under task j1.0.0.0.");
    }

    @Test
    void namesTasksWhoseRunsEndSoonAfterTheirStart() {
        String paused = "{\"at\":9600,\"event\":\"task-restart-paused\",\"job\":\"j1\",\"task\":\"j1.0.0.0\","
                + "\"shortRuns\":3,\"millis\":400}\n";
        run(ACCEPTED + STARTED + FAILED + paused, "explain", "job", "j1");
        assertThat(output())
                .contains("The runs of task j1.0.0.0 ended soon after their start; 1 restarts were delayed.");
    }

    @Test
    void showsLinesOfAllHostsInOrder(@TempDir Path folder) throws IOException {
        Path first = Files.writeString(folder.resolve("a.log"), FAILED + "# a crash report\n");
        Path second = Files.writeString(folder.resolve("b.log"), STARTED + ACCEPTED);
        run("", "explain", "job", "j1", first.toString(), second.toString());
        assertThat(output().lines()
                        .limit(4)
                        .map(line -> line.replaceAll(" .*", ""))
                        .toList())
                .containsExactly("SECONDS", "0.000", "8.000", "8.500")
                .inOrder();
    }

    @Test
    void showsSchedulerChangesAndLostWorkersDuringJob() {
        String acting = "{\"at\":9100,\"event\":\"scheduler-acting\",\"host\":\"h2\",\"epoch\":9}\n";
        String gone = "{\"at\":9200,\"event\":\"worker-gone\",\"worker\":\"w1\",\"reason\":\"lease-ended\"}\n";
        String other = "{\"at\":9300,\"event\":\"worker-gone\",\"worker\":\"w2\",\"reason\":\"left\"}\n";
        run(ACCEPTED + STARTED + acting + gone + other + FAILED, "explain", "job", "j1");
        assertThat(output()).contains("epoch=9");
        assertThat(output()).contains("Worker w1 was lost: lease-ended.");
        assertThat(output()).doesNotContain("w2");
    }

    @Test
    void failsForJobThatNoLineMentions() {
        assertThat(run(ACCEPTED, "explain", "job", "j2")).isEqualTo(4);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("collect the logs of all hosts");
    }

    @Test
    void failsWithoutJobId() {
        assertThat(run("", "explain", "job")).isEqualTo(2);
    }
}
