package dev.waxwinghead.systemtests;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.settings.SettingsReader;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ExamplesTests {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static List<Path> files(Path folder, String suffix) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(suffix))
                    .sorted()
                    .toList();
        }
    }

    private static List<Path> manifests() throws IOException {
        return files(EXAMPLES, ".yaml");
    }

    private static DaemonSettings settings(Path file) throws Exception {
        Properties properties = new Properties();
        try (InputStream input = Files.newInputStream(file)) {
            properties.load(input);
        }
        Map<String, String> environment = new HashMap<>();
        properties.stringPropertyNames().forEach(name -> environment.put(name, properties.getProperty(name)));
        return SettingsReader.read(List.of(), environment).orElseThrow();
    }

    @ParameterizedTest
    @MethodSource("manifests")
    void manifestsAreReadable(Path file) throws IOException {
        assertThat(Manifests.readYaml(Files.readString(file))).isNotEmpty();
    }

    @ParameterizedTest
    @CsvSource({"chattahoochee, 6, 3, 3", "cuerdas, 8, 4, 5"})
    void settingsExistForEveryEntryHost(String user, int hosts, int dataCentres, int voters) throws Exception {
        List<Path> files = files(EXAMPLES.resolve(user).resolve("settings"), ".env");
        assertThat(files).hasSize(hosts);

        for (Path file : files) {
            DaemonSettings settings = settings(file);
            assertThat(file.getFileName().toString()).isEqualTo(settings.host() + ".env");
            assertThat(settings.peers()).hasSize(hosts);
            assertThat(settings.peers().stream().map(peer -> peer.dataCentre()).distinct())
                    .hasSize(dataCentres);
            assertThat(settings.initialVoters()).hasSize(voters);
            assertThat(settings.dataFolder().isPresent())
                    .isEqualTo(settings.initialVoters().contains(settings.host()));
        }
    }

    @Test
    void noDataCentreHoldsAMajorityOfVoters() throws Exception {
        for (String user : List.of("chattahoochee", "cuerdas")) {
            DaemonSettings settings =
                    settings(EXAMPLES.resolve(user).resolve("settings").resolve("e1.env"));
            settings.peers().stream().map(peer -> peer.dataCentre()).distinct().forEach(dataCentre -> {
                long voters = settings.peers().stream()
                        .filter(peer -> peer.dataCentre().equals(dataCentre))
                        .filter(peer -> settings.initialVoters().contains(peer.host()))
                        .count();
                assertThat(voters * 2)
                        .isLessThan((long) settings.initialVoters().size());
            });
        }
    }
}
