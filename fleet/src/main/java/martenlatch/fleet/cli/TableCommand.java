package martenlatch.fleet.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import martenlatch.fleet.judge.Figures;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;
import martenlatch.fleet.launch.DeployFile;
import martenlatch.fleet.rig.FleetRun;
import martenlatch.fleet.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs all scenarios at several sizes, with processes and in simulated time, and prints one table. */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        description = "Runs every scenario at several sizes and prints one table (Markdown). Endpoints and rate "
                + "grow with the number of sidecars.")
final class TableCommand implements Callable<Integer> {

    /** A void run is repeated up to this many runs in total. */
    private static final int MAX_RUNS = 3;
    /** The number of sidecars that the built-in scenarios are written for. */
    private static final int BASE_SIDECARS = 6;

    private static final int ENDPOINTS_PER_SIDECAR = 2;
    private static final double RATE_PER_SIDECAR = 25;

    @Option(
            names = "--processes",
            split = ",",
            paramLabel = "N",
            description = "fleet sizes to run with real processes")
    private List<Integer> processes = List.of();

    @Option(names = "--simulated", split = ",", paramLabel = "N", description = "fleet sizes to run in simulated time")
    private List<Integer> simulated = List.of();

    @Option(names = "--scenarios", split = ",", paramLabel = "NAME", description = "only these scenarios")
    private List<String> scenarios;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "the root of the checkout (${DEFAULT-VALUE})")
    private Path root;

    @Override
    public Integer call() throws IOException, InterruptedException {
        System.out.println("| scenario | sidecars | requests | served | refused | failed | no answer "
                + "| attempts/request | back after | broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String name : scenarios == null ? Main.scenarioNames() : scenarios) {
            for (int size : processes) {
                printRow(name, size + " processes", runWithProcesses(scenarioOfSize(name, size)));
            }
            for (int size : simulated) {
                printRow(name, size + " simulated", Main.simulate(scenarioOfSize(name, size)));
            }
        }
        return 0;
    }

    private static Scenario scenarioOfSize(String name, int size) throws IOException {
        ObjectNode tree = (ObjectNode) Main.scenarioTree(name);
        tree.withObject("/fleet").put("sidecars", size).put("endpoints", size * ENDPOINTS_PER_SIDECAR);
        tree.withObject("/load").put("rate", size * RATE_PER_SIDECAR);
        if (tree.has("discovery")) {
            // The capacity of discovery grows with the fleet too.
            ObjectNode discovery = tree.withObject("/discovery");
            for (String field : List.of("call-ms", "most-wait-ms")) {
                discovery.put(field, discovery.path(field).asDouble() * BASE_SIDECARS / size);
            }
        }
        return Scenario.of(tree);
    }

    private Verdict runWithProcesses(Scenario scenario) throws IOException, InterruptedException {
        Verdict verdict = null;
        for (int i = 0; i < MAX_RUNS && (verdict == null || verdict.outcome() == Verdict.Outcome.VOID); i++) {
            try (FleetRun run = new FleetRun(
                    scenario,
                    DeployFile.read(root.toAbsolutePath().normalize()),
                    Path.of(System.getProperty("java.io.tmpdir")))) {
                run.play(second -> {});
                verdict = Verdict.of(new RunRecord(
                        scenario, run.history().events(), run.history().missing()));
            }
        }
        return verdict;
    }

    private static void printRow(String name, String size, Verdict verdict) {
        Figures figures = verdict.figures();
        Map<String, Integer> findingsByCheck = new TreeMap<>();
        verdict.findings().forEach(finding -> findingsByCheck.merge(finding.judge(), 1, Integer::sum));
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.4f | %d | %d | %d | %.3f | %s | %s |%n",
                name,
                size,
                figures.asked(),
                figures.servedShare(),
                figures.refused(),
                figures.failed(),
                figures.timedOut() + figures.notSent(),
                figures.amplification(),
                Double.isNaN(figures.recoveryMs())
                        ? ""
                        : Double.isInfinite(figures.recoveryMs())
                                ? "never"
                                : String.format(Locale.ROOT, "%.2f s", figures.recoveryMs() / 1000),
                verdict.outcome() == Verdict.Outcome.VOID
                        ? "void"
                        : findingsByCheck.isEmpty() ? "" : findingsByCheck.toString());
    }
}
