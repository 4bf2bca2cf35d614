package martenlatch.fleet;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against rooms that come to lean on one another: arrows only run down. */
class FleetRoomsTest {

    @Test
    void arrowsOnlyRunDown() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("martenlatch.fleet");
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy("martenlatch.fleet.cli..")
                .layer("rig")
                .definedBy("martenlatch.fleet.rig..")
                .layer("explore")
                .definedBy("martenlatch.fleet.explore..")
                .layer("gossip")
                .definedBy("martenlatch.fleet.gossip..")
                .layer("sim")
                .definedBy("martenlatch.fleet.sim..")
                .layer("front")
                .definedBy("martenlatch.fleet.front..")
                .layer("report")
                .definedBy("martenlatch.fleet.report..")
                .layer("judge")
                .definedBy("martenlatch.fleet.judge..")
                .layer("scenario")
                .definedBy("martenlatch.fleet.scenario..")
                .layer("history")
                .definedBy("martenlatch.fleet.history..")
                .layer("link")
                .definedBy("martenlatch.fleet.link..")
                .layer("launch")
                .definedBy("martenlatch.fleet.launch..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("explore")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("gossip")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("sim")
                .mayOnlyBeAccessedByLayers("cli", "explore", "gossip")
                .whereLayer("front")
                .mayOnlyBeAccessedByLayers("rig", "sim")
                .whereLayer("rig")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("report")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("judge")
                .mayOnlyBeAccessedByLayers("cli", "report", "rig", "sim", "explore")
                .whereLayer("launch")
                .mayOnlyBeAccessedByLayers("cli", "rig")
                .check(classes);
    }
}
