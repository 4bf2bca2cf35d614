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
import martenlatch.fleet.judge.Record;
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

/** {@code martenlatch-fleet}: many sidecars as processes, with faults between them. */
@Command(
        name = "martenlatch-fleet",
        mixinStandardHelpOptions = true,
        version = "martenlatch-fleet 0.3.0",
        description = "Runs many sidecars as processes on this machine and puts faults between them.",
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
    private static final int UNUSABLE = 2;
    private static final int VOID = 3;
    private static final long LONGEST_END_S = 30;
    private static final String SCENARIOS = "/scenarios/";

    @Spec
    private CommandSpec spec;

    /** Runs a command; exit status 0 held, 1 broken or failed, 2 a command line or file of no use, 3 void. */
    public static void main(String[] args) {
        System.exit(execute(args));
    }

    static int execute(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("martenlatch-fleet: " + e.getMessage());
            return e instanceof IllegalArgumentException ? UNUSABLE : BROKEN;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a command is missing: run, simulate, explore, shrink, list, table, peers or cost");
    }

    static List<String> names() throws IOException {
        try (InputStream in = Main.class.getResourceAsStream(SCENARIOS + "index")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** A scenario of that name or file, as its tree. */
    static JsonNode tree(String name) throws IOException {
        if (Files.exists(Path.of(name))) {
            return TomlFile.read(Path.of(name));
        }
        try (InputStream in = Main.class.getResourceAsStream(SCENARIOS + name + ".toml")) {
            if (in == null) {
                throw new IllegalArgumentException(
                        "the scenario must be a file or one of " + names() + " but is \"" + name + "\"");
            }
            return new TomlMapper().readTree(in);
        }
    }

    /** Which scenario, at which size, with which faults. */
    static final class Chosen {
        @Parameters(paramLabel = "SCENARIO", description = "a file, or the name of one that comes with the program")
        private String name;

        @Option(names = "--sidecars", paramLabel = "N", description = "instead of the scenario's own number")
        private Integer sidecars;

        @Option(names = "--endpoints", paramLabel = "N", description = "instead of the scenario's own number")
        private Integer endpoints;

        @Option(names = "--rate", paramLabel = "R", description = "requests a second, instead of the scenario's own")
        private Double rate;

        @Option(names = "--seed", paramLabel = "S", description = "instead of the scenario's own")
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
                description = "how many faults are drawn (${DEFAULT-VALUE})")
        private int count;

        @Option(names = "--only", split = ",", paramLabel = "N", description = "only these faults, counted from 0")
        private List<Integer> only;

        Scenario read() throws IOException {
            ObjectNode tree = (ObjectNode) tree(name);
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
                            .filter(one -> only.contains(one.number()))
                            .toList());
        }
    }

    /** Where a run is told of. */
    static final class Told {
        @Option(names = "--html", paramLabel = "FILE", description = "writes a page")
        private Path html;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the report as JSON")
        private Path json;

        @Option(names = "--quiet", description = "no line a second")
        private boolean quiet;

        int tell(Scenario scenario, History history) throws IOException {
            Record record = new Record(scenario, history.events(), history.missing());
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

    static Verdict simulated(Scenario scenario) {
        SimRun run = new SimRun(scenario);
        History history = run.play(second -> {});
        return Verdict.of(new Record(scenario, history.events(), history.missing()));
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Scenarios that come with the program.")
    static final class ListScenarios implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            for (String name : names()) {
                System.out.printf("%-18s %s%n", name, Scenario.of(tree(name)).about());
            }
            return 0;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario with real processes.")
    static final class Run implements Callable<Integer> {
        @Mixin
        private Chosen chosen;

        @Mixin
        private Told told;

        @Option(
                names = "--root",
                paramLabel = "FOLDER",
                defaultValue = ".",
                description =
                        "the checkout whose deploy/balancer.toml says how a sidecar is started " + "(${DEFAULT-VALUE})")
        private Path root;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scenario scenario = chosen.read();
            CountDownLatch over = new CountDownLatch(1);
            try (FleetRun run = new FleetRun(
                    scenario,
                    DeployFile.read(root.toAbsolutePath().normalize()),
                    Path.of(System.getProperty("java.io.tmpdir")))) {
                Runtime.getRuntime()
                        .addShutdownHook(new Thread(
                                () -> {
                                    run.stop();
                                    try {
                                        over.await(LONGEST_END_S, TimeUnit.SECONDS);
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                },
                                "stop"));
                run.play(second -> {
                    if (!told.quiet) {
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
                return told.tell(scenario, run.history());
            } finally {
                over.countDown();
            }
        }
    }

    @Command(
            name = "simulate",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario in simulated time, with the program's decisions and their host.")
    static final class Simulate implements Callable<Integer> {
        @Mixin
        private Chosen chosen;

        @Mixin
        private Told told;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = chosen.read();
            long began = System.nanoTime();
            SimRun run = new SimRun(scenario);
            History history = run.play(at -> {
                if (!told.quiet) {
                    System.out.printf(Locale.ROOT, "%4.0f s  %d tasks%n", at / 1000, run.ran());
                }
            });
            double seconds = (System.nanoTime() - began) / 1e9;
            System.out.printf(
                    Locale.ROOT,
                    "simulated in %.1f s of real time, %.0f tasks a second, heap %d MB, " + "history %s%n",
                    seconds,
                    run.ran() / seconds,
                    (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20,
                    history.digest());
            return told.tell(scenario, history);
        }
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description = "Draws fault plans, plays each in simulated time, and names those that break " + "something.")
    static final class Explore implements Callable<Integer> {
        @Mixin
        private Chosen chosen;

        @Option(names = "--seeds", paramLabel = "N", defaultValue = "20", description = "how many (${DEFAULT-VALUE})")
        private int seeds;

        @Option(names = "--from", paramLabel = "S", defaultValue = "1", description = "the first (${DEFAULT-VALUE})")
        private int from;

        @Override
        public Integer call() throws IOException {
            Scenario base = chosen.read();
            int broken = 0;
            for (int seed = from; seed < from + seeds; seed++) {
                Verdict verdict = simulated(RandomFaults.in(base, seed, chosen.count));
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
                    + chosen.name + " --plan SEED --count " + chosen.count);
            return broken == 0 ? 0 : BROKEN;
        }
    }

    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description = "Cuts a plan that breaks something in simulated time down to the faults that matter.")
    static final class ShrinkPlan implements Callable<Integer> {
        @Mixin
        private Chosen chosen;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = chosen.read();
            Set<String> judges =
                    simulated(scenario).findings().stream().map(Finding::judge).collect(Collectors.toSet());
            if (judges.isEmpty()) {
                System.out.println("nothing breaks");
                return 0;
            }
            List<Fault> left = Shrink.of(
                    scenario.faults(),
                    faults -> simulated(scenario.with(faults)).findings().stream()
                            .anyMatch(found -> judges.contains(found.judge())));
            left.forEach(fault -> System.out.println(fault.number() + ": " + fault));
            System.out.println("play it again with --only "
                    + left.stream().map(one -> String.valueOf(one.number())).collect(Collectors.joining(",")));
            return BROKEN;
        }
    }
}
