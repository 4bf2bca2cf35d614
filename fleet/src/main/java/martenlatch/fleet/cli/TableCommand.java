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

/** Plays all scenarios at several sizes, with processes and in simulated time, and prints one table. */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        description = "Plays every scenario at several sizes and prints one table (Markdown). Endpoints and rate "
                + "grow with the number of sidecars.")
final class TableCommand implements Callable<Integer> {

    private static final int TRIES = 3;
    /** As the scenarios that come with the program have it for their six sidecars. */
    private static final int OWN_SIDECARS = 6;

    private static final int ENDPOINTS_EACH = 2;
    private static final double RATE_EACH = 25;

    @Option(names = "--processes", split = ",", paramLabel = "N", description = "sizes with real processes")
    private List<Integer> processes = List.of();

    @Option(names = "--simulated", split = ",", paramLabel = "N", description = "sizes in simulated time")
    private List<Integer> simulated = List.of();

    @Option(names = "--scenarios", split = ",", paramLabel = "NAME", description = "only these")
    private List<String> scenarios;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "the checkout (${DEFAULT-VALUE})")
    private Path root;

    @Override
    public Integer call() throws IOException, InterruptedException {
        System.out.println("| scenario | sidecars | requests | served | refused | failed | no answer "
                + "| attempts/request | back after | broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String name : scenarios == null ? Main.names() : scenarios) {
            for (int size : processes) {
                line(name, size + " processes", played(sized(name, size)));
            }
            for (int size : simulated) {
                line(name, size + " simulated", Main.simulated(sized(name, size)));
            }
        }
        return 0;
    }

    private static Scenario sized(String name, int size) throws IOException {
        ObjectNode tree = (ObjectNode) Main.tree(name);
        tree.withObject("/fleet").put("sidecars", size).put("endpoints", size * ENDPOINTS_EACH);
        tree.withObject("/load").put("rate", size * RATE_EACH);
        if (tree.has("discovery")) {
            // What discovery can do grows with the fleet too.
            ObjectNode discovery = tree.withObject("/discovery");
            for (String field : List.of("call-ms", "most-wait-ms")) {
                discovery.put(field, discovery.path(field).asDouble() * OWN_SIDECARS / size);
            }
        }
        return Scenario.of(tree);
    }

    private Verdict played(Scenario scenario) throws IOException, InterruptedException {
        Verdict verdict = null;
        for (int i = 0; i < TRIES && (verdict == null || verdict.outcome() == Verdict.Outcome.VOID); i++) {
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

    private static void line(String name, String size, Verdict verdict) {
        Figures of = verdict.figures();
        Map<String, Integer> broken = new TreeMap<>();
        verdict.findings().forEach(one -> broken.merge(one.judge(), 1, Integer::sum));
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.4f | %d | %d | %d | %.3f | %s | %s |%n",
                name,
                size,
                of.asked(),
                of.servedShare(),
                of.refused(),
                of.failed(),
                of.timedOut() + of.notSent(),
                of.amplification(),
                Double.isNaN(of.recoveryMs())
                        ? ""
                        : Double.isInfinite(of.recoveryMs())
                                ? "never"
                                : String.format(Locale.ROOT, "%.2f s", of.recoveryMs() / 1000),
                verdict.outcome() == Verdict.Outcome.VOID ? "void" : broken.isEmpty() ? "" : broken.toString());
    }
}
