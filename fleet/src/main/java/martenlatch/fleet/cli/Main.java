package martenlatch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import martenlatch.fleet.explore.RandomFaults;
import martenlatch.fleet.explore.Shrink;
import martenlatch.fleet.history.History;
import martenlatch.fleet.judge.Finding;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;
import martenlatch.fleet.launch.DeployFile;
import martenlatch.fleet.report.HtmlReport;
import martenlatch.fleet.report.JsonReport;
import martenlatch.fleet.report.TextReport;
import martenlatch.fleet.rig.FleetRun;
import martenlatch.fleet.scenario.Fault;
import martenlatch.fleet.scenario.Scenario;
import martenlatch.fleet.sim.SimRun;
import martenlatch.load.RequestOutcome;
import martenlatch.toml.TomlFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code martenlatch-fleet}: runs a fleet of sidecars as processes and injects faults. */
@Command(
        name = "martenlatch-fleet",
        mixinStandardHelpOptions = true,
        version = "martenlatch-fleet 0.3.0",
        description = "Runs a fleet of sidecars as processes on this machine and injects faults.",
        subcommands = {
            Main.Run.class,
            Main.Simulate.class,
            Main.Explore.class,
            Main.ShrinkPlan.class,
            Main.ListScenarios.class,
            TableCommand.class,
            CostCommand.class,
            PeersCommand.class
        })
public final class Main implements Runnable {

    private static final int BROKEN = 1;
    private static final int USAGE_ERROR = 2;
    private static final int VOID = 3;
    private static final long MAX_SHUTDOWN_S = 30;
    private static final String SCENARIO_FOLDER = "/scenarios/";

    @Spec
    private CommandSpec spec;

    /**
     * Runs a command. Exit status: 0 if the run held, 1 if it was broken or failed, 2 if the command line or a file is
     * invalid, 3 if the run was void.
     */
    public static void main(String[] args) {
        System.exit(execute(args));
    }

    static int execute(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("martenlatch-fleet: " + e.getMessage());
            return e instanceof IllegalArgumentException ? USAGE_ERROR : BROKEN;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a command is missing: run, simulate, explore, shrink, list, table, peers or cost");
    }

    static List<String> scenarioNames() throws IOException {
        try (InputStream in = Main.class.getResourceAsStream(SCENARIO_FOLDER + "index")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Returns the parsed file of a scenario, given as a file or as the name of a built-in scenario. */
    static JsonNode scenarioTree(String name) throws IOException {
        if (Files.exists(Path.of(name))) {
            return TomlFile.read(Path.of(name));
        }
        try (InputStream in = Main.class.getResourceAsStream(SCENARIO_FOLDER + name + ".toml")) {
            if (in == null) {
                throw new IllegalArgumentException(
                        "the scenario must be a file or one of " + scenarioNames() + " but is \"" + name + "\"");
            }
            return new TomlMapper().readTree(in);
        }
    }

    /** Options that select the scenario, its size and its faults. */
    static final class ScenarioOptions {
        @Parameters(paramLabel = "SCENARIO", description = "a file, or the name of a built-in scenario")
        private String name;

        @Option(names = "--sidecars", paramLabel = "N", description = "instead of the scenario's own number")
        private Integer sidecars;

        @Option(names = "--endpoints", paramLabel = "N", description = "instead of the scenario's own number")
        private Integer endpoints;

        @Option(names = "--rate", paramLabel = "R", description = "requests per second, instead of the scenario's own")
        private Double rate;

        @Option(names = "--seed", paramLabel = "S", description = "seed, instead of the scenario's own")
        private Integer seed;

        @Option(
                names = "--plan",
                paramLabel = "S",
                description = "faults drawn from this seed, instead of the scenario's own")
        private Integer plan;

        @Option(
                names = "--count",
                paramLabel = "N",
                defaultValue = "6",
                description = "number of faults to draw (${DEFAULT-VALUE})")
        private int count;

        @Option(names = "--only", split = ",", paramLabel = "N", description = "only these faults, counted from 0")
        private List<Integer> only;

        Scenario read() throws IOException {
            ObjectNode tree = (ObjectNode) scenarioTree(name);
            ObjectNode fleet = tree.withObject("/fleet");
            if (sidecars != null) {
                fleet.put("sidecars", sidecars);
            }
            if (endpoints != null) {
                fleet.put("endpoints", endpoints);
            }
            if (rate != null) {
                tree.withObject("/load").put("rate", rate);
            }
            if (seed != null) {
                tree.put("seed", seed);
            }
            Scenario scenario = Scenario.of(tree);
            if (plan != null) {
                scenario = RandomFaults.in(scenario, plan, count);
            }
            List<Fault> faults = scenario.faults();
            return only == null
                    ? scenario
                    : scenario.with(faults.stream()
                            .filter(fault -> only.contains(fault.number()))
                            .toList());
        }
    }

    /** Options for the reports of a run. */
    static final class ReportOptions {
        @Option(names = "--html", paramLabel = "FILE", description = "writes the report as an HTML page")
        private Path html;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON")
        private Path json;

        @Option(names = "--quiet", description = "prints no line per second")
        private boolean quiet;

        int report(Scenario scenario, History history) throws IOException {
            RunRecord record = new RunRecord(scenario, history.events(), history.missing());
            Verdict verdict = Verdict.of(record);
            TextReport.print(record, verdict, System.out);
            if (html != null) {
                HtmlReport.write(html, record, verdict);
            }
            if (json != null) {
                JsonReport.write(json, record, verdict);
            }
            return switch (verdict.outcome()) {
                case HELD -> 0;
                case BROKEN -> BROKEN;
                case VOID -> VOID;
            };
        }
    }

    static Verdict simulate(Scenario scenario) {
        SimRun run = new SimRun(scenario);
        History history = run.play(second -> {});
        return Verdict.of(new RunRecord(scenario, history.events(), history.missing()));
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the built-in scenarios.")
    static final class ListScenarios implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            for (String name : scenarioNames()) {
                System.out.printf(
                        "%-18s %s%n", name, Scenario.of(scenarioTree(name)).about());
            }
            return 0;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a scenario with real processes.")
    static final class Run implements Callable<Integer> {
        @Mixin
        private ScenarioOptions options;

        @Mixin
        private ReportOptions reportOptions;

        @Option(
                names = "--root",
                paramLabel = "FOLDER",
                defaultValue = ".",
                description = "the root of the checkout whose deploy/balancer.toml defines how a sidecar is started "
                        + "(${DEFAULT-VALUE})")
        private Path root;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scenario scenario = options.read();
            CountDownLatch finished = new CountDownLatch(1);
            try (FleetRun run = new FleetRun(
                    scenario,
                    DeployFile.read(root.toAbsolutePath().normalize()),
                    Path.of(System.getProperty("java.io.tmpdir")))) {
                Runtime.getRuntime()
                        .addShutdownHook(new Thread(
                                () -> {
                                    run.stop();
                                    try {
                                        finished.await(MAX_SHUTDOWN_S, TimeUnit.SECONDS);
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                },
                                "stop"));
                run.play(second -> {
                    if (!reportOptions.quiet) {
                        System.out.printf(
                                Locale.ROOT,
                                "%4d s  sent %5d  served %5d  p50 %7.1f  p99 %8.1f ms%n",
                                second.number() + 1,
                                second.wishes(),
                                second.count(RequestOutcome.SERVED),
                                second.ms(50),
                                second.ms(99));
                    }
                });
                return reportOptions.report(scenario, run.history());
            } finally {
                finished.countDown();
            }
        }
    }

    @Command(
            name = "simulate",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario in simulated time, with the policy of the sidecars and its host.")
    static final class Simulate implements Callable<Integer> {
        @Mixin
        private ScenarioOptions options;

        @Mixin
        private ReportOptions reportOptions;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = options.read();
            long startNanos = System.nanoTime();
            SimRun run = new SimRun(scenario);
            History history = run.play(at -> {
                if (!reportOptions.quiet) {
                    System.out.printf(Locale.ROOT, "%4.0f s  %d tasks%n", at / 1000, run.tasksRun());
                }
            });
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            System.out.printf(
                    Locale.ROOT,
                    "simulated in %.1f s of real time, %.0f tasks a second, heap %d MB, " + "history %s%n",
                    seconds,
                    run.tasksRun() / seconds,
                    (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20,
                    history.digest());
            return reportOptions.report(scenario, history);
        }
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description =
                    "Draws random fault plans, runs each in simulated time, and prints those that violate a rule.")
    static final class Explore implements Callable<Integer> {
        @Mixin
        private ScenarioOptions options;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "20",
                description = "number of plans (${DEFAULT-VALUE})")
        private int seeds;

        @Option(
                names = "--from",
                paramLabel = "S",
                defaultValue = "1",
                description = "seed of the first plan (${DEFAULT-VALUE})")
        private int from;

        @Override
        public Integer call() throws IOException {
            Scenario base = options.read();
            int broken = 0;
            for (int seed = from; seed < from + seeds; seed++) {
                Verdict verdict = simulate(RandomFaults.in(base, seed, options.count));
                if (verdict.outcome() == Verdict.Outcome.BROKEN) {
                    broken++;
                    System.out.println("plan " + seed + " breaks "
                            + verdict.findings().stream()
                                    .map(Finding::judge)
                                    .distinct()
                                    .sorted()
                                    .toList() + ", first: "
                            + verdict.findings().get(0).what());
                }
            }
            System.out.println(broken + " of " + seeds + " plans break something; to cut one down: shrink "
                    + options.name + " --plan SEED --count " + options.count);
            return broken == 0 ? 0 : BROKEN;
        }
    }

    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description = "Reduces a plan that violates a rule in simulated time to the faults that are needed.")
    static final class ShrinkPlan implements Callable<Integer> {
        @Mixin
        private ScenarioOptions options;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = options.read();
            Set<String> brokenChecks =
                    simulate(scenario).findings().stream().map(Finding::judge).collect(Collectors.toSet());
            if (brokenChecks.isEmpty()) {
                System.out.println("nothing breaks");
                return 0;
            }
            List<Fault> remaining = Shrink.of(
                    scenario.faults(),
                    faults -> simulate(scenario.with(faults)).findings().stream()
                            .anyMatch(found -> brokenChecks.contains(found.judge())));
            remaining.forEach(fault -> System.out.println(fault.number() + ": " + fault));
            System.out.println("play it again with --only "
                    + remaining.stream()
                            .map(fault -> String.valueOf(fault.number()))
                            .collect(Collectors.joining(",")));
            return BROKEN;
        }
    }
}
