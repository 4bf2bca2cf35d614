package martenlatch;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Rooms are used from above only; the arrows are those that the package pages tell of. */
class RoomsTest {

    @Test
    void arrowsRunDown() {
        JavaClasses program = new ClassFileImporter()
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
                .layer("benchlink")
                .definedBy("martenlatch.benchlink..")
                .layer("http")
                .definedBy("martenlatch.front.http..")
                .layer("front")
                .definedBy("martenlatch.front")
                .layer("membership")
                .definedBy("martenlatch.membership..")
                .layer("upstream")
                .definedBy("martenlatch.upstream..")
                .layer("net")
                .definedBy("martenlatch.net..")
                .layer("host")
                .definedBy("martenlatch.host..")
                .layer("config")
                .definedBy("martenlatch.config..")
                .layer("peers")
                .definedBy("martenlatch.peers..")
                .layer("policy")
                .definedBy("martenlatch.policy..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("sidecar")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("admin")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("site")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("benchlink")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("http")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("front")
                .mayOnlyBeAccessedByLayers("http", "sidecar")
                .whereLayer("membership")
                .mayOnlyBeAccessedByLayers("sidecar", "site")
                .whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("sidecar", "http")
                .whereLayer("net")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "http", "membership", "upstream")
                .whereLayer("host")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "site", "http", "membership", "upstream", "net")
                .whereLayer("peers")
                .mayOnlyBeAccessedByLayers("sidecar")
                .whereLayer("peers")
                .mayNotAccessAnyLayer()
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("sidecar", "admin", "site", "membership", "benchlink")
                .check(program);
    }
}
