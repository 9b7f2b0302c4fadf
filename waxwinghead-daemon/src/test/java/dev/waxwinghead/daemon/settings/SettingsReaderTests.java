package dev.waxwinghead.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTests {
    private static final List<String> COMPLETE = List.of(
            "--cluster",
            "c",
            "--host",
            "e1",
            "--data-centre",
            "dc1",
            "--peers",
            "e1@dc1=127.0.0.1:7203",
            "--initial-voters",
            "e1",
            "--data-folder",
            "data");

    private static List<String> complete(String... more) {
        List<String> arguments = new ArrayList<>(COMPLETE);
        Collections.addAll(arguments, more);
        return arguments;
    }

    private static List<String> problems(List<String> arguments) {
        return assertThrows(SettingsException.class, () -> SettingsReader.read(arguments, Map.of()))
                .problems();
    }

    @Test
    void flagTakesPrecedenceOverItsVariable() throws SettingsException {
        Map<String, String> environment = Map.of("WAXWINGHEAD_WORKER_LEASE", "5s", "WAXWINGHEAD_DRAIN_TIMEOUT", "7s");

        DaemonSettings settings = SettingsReader.read(complete("--worker-lease", "3s"), environment)
                .orElseThrow();

        assertThat(settings.workerLease()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.drainTimeout()).isEqualTo(Duration.ofSeconds(7));
    }

    @Test
    void usesThePeerAddressOfThisHostByDefault() throws SettingsException {
        DaemonSettings settings = SettingsReader.read(COMPLETE, Map.of()).orElseThrow();

        assertThat(settings.peerListen().getPort()).isEqualTo(7203);
    }

    @Test
    void reportsAllProblemsAtOnce() {
        List<String> problems = problems(List.of("--host", "e 1", "--worker-lease", "0s", "--initial-voters", "a,b"));

        assertThat(problems).hasSize(6);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--worker-lease | 10 | not a time",
                "--worker-lease | 2h | out of range",
                "--caller-threads | many | not a whole number",
                "--caller-listen | localhost:1 | not an address",
                "--caller-listen | 127.0.0.1:70000 | out of range",
                "--caller-listen | 300.0.0.1:70 | not an IP number"
            })
    void namesTheSettingTheValueAndTheRemedy(String flag, String value, String fault) {
        List<String> problems = problems(complete(flag, value));

        assertThat(problems).hasSize(1);
        assertThat(problems.get(0)).startsWith(flag + " is '" + value + "': ");
        assertThat(problems.get(0)).contains(fault);
        assertThat(problems.get(0)).contains("; give ");
    }

    @Test
    void reportsUnknownFlags() {
        assertThat(problems(complete("--colour", "red")).get(0)).contains("--help");
    }

    @Test
    void refusesAVoterWithoutADataFolder() {
        assertThat(problems(COMPLETE.subList(0, COMPLETE.size() - 2)))
                .containsExactly(
                        "--data-folder is missing, but this host is an initial voter; give it a folder on a disk");
    }
}
