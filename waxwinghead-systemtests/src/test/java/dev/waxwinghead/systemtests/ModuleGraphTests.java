package dev.waxwinghead.systemtests;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ModuleGraphTests {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("dev.waxwinghead");

    @Test
    void modulesDependInwardsOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("model")
                .definedBy("dev.waxwinghead.model..")
                .layer("coordination")
                .definedBy("dev.waxwinghead.coordination..")
                .layer("scheduling")
                .definedBy("dev.waxwinghead.scheduling..")
                .layer("daemon")
                .definedBy("dev.waxwinghead.daemon..")
                .layer("cli")
                .definedBy("dev.waxwinghead.cli..")
                .layer("testkit")
                .definedBy("dev.waxwinghead.testkit..")
                .layer("platform")
                .definedBy("dev.waxwinghead.platform..")
                .whereLayer("platform")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("daemon")
                .mayOnlyBeAccessedByLayers("platform")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("testkit")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("scheduling")
                .mayOnlyBeAccessedByLayers("daemon", "platform")
                .check(CLASSES);
    }

    @Test
    void modulesHaveNoDependencyCycles() {
        slices().matching("dev.waxwinghead.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "beat_addr",
                "acked_seq",
                "hold_ms",
                "retry_ms",
                "Config.Replace",
                "Instances.Heartbeat",
                "path_prefix",
                "slo_ms",
                "max_per_server",
                "machine-move",
                "WAXWINGHEAD_NODE_FILE",
                "hold_max_ms"
            })
    void platformNamesOccurOnlyInThePlatformModule(String name) throws IOException {
        Path root = Path.of("..").toAbsolutePath().normalize();
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> offendingFiles = files.filter(file -> file.toString().contains("/src/main/"))
                    .filter(Files::isRegularFile)
                    .filter(file -> !file.startsWith(root.resolve("platform")))
                    .filter(file -> contains(file, name))
                    .toList();
            assertThat(offendingFiles).isEmpty();
        }
    }

    private static boolean contains(Path file, String name) {
        try {
            return Files.readString(file).contains(name);
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + file, e);
        }
    }
}
