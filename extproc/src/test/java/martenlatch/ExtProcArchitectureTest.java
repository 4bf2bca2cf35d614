package martenlatch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the package dependencies of the external processor; a test of the sidecar checks the shared packages. */
class ExtProcArchitectureTest {

    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenlatch");

    @Test
    void dependenciesFollowTheLayers() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("extproc")
                .definedBy("martenlatch.extproc..")
                .layer("frontend.extproc")
                .definedBy("martenlatch.frontend.extproc..")
                .layer("world")
                .definedBy("martenlatch.world..")
                .whereLayer("extproc")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("frontend.extproc")
                .mayOnlyBeAccessedByLayers("extproc")
                .whereLayer("world")
                .mayOnlyBeAccessedByLayers("extproc")
                .check(MAIN_CLASSES);
    }

    @Test
    void frontendDependsOnNoTransportAndNoSiteConfiguration() {
        noClasses()
                .that()
                .resideInAPackage("martenlatch.frontend.extproc..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "martenlatch.sidecar..",
                        "martenlatch.site..",
                        "martenlatch.frontend.http..",
                        "martenlatch.upstream..",
                        "martenlatch.discovery..",
                        "martenlatch.cli..")
                .check(MAIN_CLASSES);
    }

    @Test
    void simulatedPeersDoNotDependOnTheProduct() {
        noClasses()
                .that()
                .resideInAPackage("martenlatch.world..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "martenlatch.frontend..",
                        "martenlatch.policy..",
                        "martenlatch.upstream..",
                        "martenlatch.sidecar..")
                .check(MAIN_CLASSES);
    }
}
