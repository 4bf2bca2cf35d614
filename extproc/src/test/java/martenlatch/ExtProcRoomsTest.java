package martenlatch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The rooms of the external processor; the sidecar's test keeps those that both share. */
class ExtProcRoomsTest {

    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenlatch");

    @Test
    void arrowsRunDown() {
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
                .check(PROGRAM);
    }

    @Test
    void theFrontSendsNothingAndReadsNoSite() {
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
                .check(PROGRAM);
    }

    @Test
    void theStandInsKnowNothingOfWhatTheyStandBefore() {
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
                .check(PROGRAM);
    }
}
