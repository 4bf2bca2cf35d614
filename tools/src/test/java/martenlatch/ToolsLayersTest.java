package martenlatch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the package layers of the tools; the load generator and the emulated world must not depend on the sidecar. */
class ToolsLayersTest {

    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenlatch");

    @Test
    void packagesDependOnLowerLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("tools")
                .definedBy("martenlatch.tools..")
                .layer("demo")
                .definedBy("martenlatch.demo..")
                .layer("load.http")
                .definedBy("martenlatch.load.http..")
                .layer("load")
                .definedBy("martenlatch.load")
                .layer("world")
                .definedBy("martenlatch.world..")
                .whereLayer("tools")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("demo")
                .mayOnlyBeAccessedByLayers("tools")
                .whereLayer("load.http")
                .mayOnlyBeAccessedByLayers("tools", "demo")
                .whereLayer("load")
                .mayOnlyBeAccessedByLayers("tools", "demo", "load.http")
                .whereLayer("world")
                .mayOnlyBeAccessedByLayers("tools", "demo")
                .check(PROGRAM);
    }

    @Test
    void loadAndWorldDoNotDependOnTheSidecar() {
        noClasses()
                .that()
                .resideInAnyPackage("martenlatch.load..", "martenlatch.world..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "martenlatch.policy..",
                        "martenlatch.request..",
                        "martenlatch.frontend..",
                        "martenlatch.upstream..",
                        "martenlatch.discovery..",
                        "martenlatch.sidecar..",
                        "martenlatch.site..",
                        "martenlatch.net..")
                .check(PROGRAM);
    }
}
