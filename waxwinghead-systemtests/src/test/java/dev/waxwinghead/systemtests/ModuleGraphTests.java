package dev.waxwinghead.systemtests;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class ModuleGraphTests {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("dev.waxwinghead");

    @Test
    void pointsInwardsOnly() {
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
                .whereLayer("daemon")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("testkit")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("scheduling")
                .mayOnlyBeAccessedByLayers("daemon")
                .check(CLASSES);
    }

    @Test
    void hasNoCycleBetweenModules() {
        slices().matching("dev.waxwinghead.(*)..").should().beFreeOfCycles().check(CLASSES);
    }
}
