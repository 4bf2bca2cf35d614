package martenlatch;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that packages depend only on lower layers, as documented in their package-info files. */
class ArchitectureTest {

    @Test
    void packagesDependOnLowerLayersOnly() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("martenlatch");
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy("martenlatch.cli..")
                .layer("sidecar")
                .definedBy("martenlatch.sidecar..")
                .layer("admin")
                .definedBy("martenlatch.admin..")
                .layer("site")
                .definedBy("martenlatch.site..")
                .layer("simulator")
                .definedBy("martenlatch.simulator..")
                .layer("frontend.http")
                .definedBy("martenlatch.frontend.http..")
                .layer("frontend")
                .definedBy("martenlatch.frontend")
                .layer("discovery")
                .definedBy("martenlatch.discovery..")
                .layer("upstream")
                .definedBy("martenlatch.upstream..")
                .layer("net")
                .definedBy("martenlatch.net..")
                .layer("request")
                .definedBy("martenlatch.request..")
                .layer("config")
                .definedBy("martenlatch.config..")
                .layer("gossip")
                .definedBy("martenlatch.gossip..")
                .layer("policy")
                .definedBy("martenlatch.policy..")
                .layer("numeric")
                .definedBy("martenlatch.numeric..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("sidecar")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("admin")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("site")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("simulator")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("frontend.http")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("frontend")
                .mayOnlyBeAccessedByLayers("frontend.http", "sidecar")
                .whereLayer("discovery")
                .mayOnlyBeAccessedByLayers("sidecar", "site")
                .whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("sidecar", "frontend.http")
                .whereLayer("net")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "frontend.http", "discovery", "upstream")
                .whereLayer("request")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "site", "frontend.http", "discovery", "upstream", "net")
                .whereLayer("gossip")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("gossip")
                .mayNotAccessAnyLayer()
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "site", "discovery", "simulator")
                .whereLayer("policy")
                .mayOnlyAccessLayers("numeric")
                .whereLayer("numeric")
                .mayOnlyBeAccessedByLayers("policy", "discovery")
                .whereLayer("numeric")
                .mayNotAccessAnyLayer()
                .check(classes);
    }
}
