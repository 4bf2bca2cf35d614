package martenlatch.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.demo.Demo;
import martenlatch.load.Arrivals;
import martenlatch.load.LoadReport;
import martenlatch.load.LoadRun;
import martenlatch.load.LoadSettings;
import martenlatch.load.RequestOutcome;
import martenlatch.load.Second;
import martenlatch.load.http.HttpDriver;
import martenlatch.world.ScheduledEvent;
import martenlatch.world.World;
import martenlatch.world.WorldFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of the tools. */
@Command(
        name = "martenlatch-tools",
        mixinStandardHelpOptions = true,
        version = "martenlatch-tools 0.3.0",
        description = "Tries and measures martenlatch: a load generator, a stand-in world, a demo.",
        subcommands = {Main.Load.class, Main.WorldCommand.class, Main.DemoCommand.class},
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:done",
            "1:it could not be done, or a rule broke",
            "2:the command line can't be used",
            "3:the generator was too slow for its own figures",
            "4:the figures do not add up"
        })
public final class Main implements Runnable {

    static final int TOO_SLOW = 3;
    static final int DOES_NOT_ADD_UP = 4;
    private static final int LONGEST_END_S = 660;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() {}

    /** Runs a command; what can't be used is one plain line and a status above 0. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream errors) {
        CommandLine line = new CommandLine(new Main());
        line.setOut(new java.io.PrintWriter(out, true));
        line.setErr(new java.io.PrintWriter(errors, true));
        line.getSubcommands().values().forEach(sub -> ((Base) sub.getCommand()).out = out);
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            errors.println("martenlatch: "
                    + (e.getMessage() == null
                            ? e.toString()
                            : e.getMessage().lines().findFirst().orElse("")));
            return 1;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing: load, world or demo");
    }

    private abstract static class Base implements Callable<Integer> {
        protected PrintStream out = System.out;
        private final CountDownLatch told = new CountDownLatch(1);

        /** At Ctrl-C and SIGTERM: stops what runs, and lets the report be printed before the program ends. */
        protected void stopAtEnd(Runnable stop) {
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                stop.run();
                                try {
                                    told.await(LONGEST_END_S, TimeUnit.SECONDS);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "stop"));
        }

        @Override
        public Integer call() throws Exception {
            try {
                return work();
            } finally {
                out.flush();
                told.countDown();
            }
        }

        abstract int work() throws IOException, InterruptedException;
    }

    private static int status(LoadReport report) {
        return !report.differences().isEmpty()
                ? DOES_NOT_ADD_UP
                : report.lateness().voidFrom() >= 0 ? TOO_SLOW : 0;
    }

    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description = "Sends a load that waits for no answer, and tells what came of it and of itself.")
    static final class Load extends Base {
        @Parameters(paramLabel = "SETTINGS.toml", description = "see docs/load.md")
        private Path settings;

        @Option(names = "--report", paramLabel = "FILE.html", description = "writes a page with plots")
        private Path page;

        @Option(names = "--quiet", description = "no line a second")
        private boolean quiet;

        @Override
        int work() throws IOException, InterruptedException {
            LoadSettings read = LoadSettings.read(settings);
            Arrivals arrivals = read.arrivals(complaint -> out.println("trace: " + complaint));
            if (read.plan().warmSeconds() > 0) {
                Rehearsal.play(read.classes());
            }
            LoadRun run = new LoadRun(
                    read.plan(),
                    arrivals,
                    (loop, most) -> new HttpDriver(loop, read.plan().targets(), most),
                    quiet ? second -> {} : this::live);
            stopAtEnd(run::stop);
            LoadReport report = run.run();
            report.print(out);
            if (report.seconds().size() < report.plannedSeconds()) {
                out.printf(
                        Locale.ROOT,
                        "stopped after %d of %.0f s%n",
                        report.seconds().size(),
                        report.plannedSeconds());
            }
            if (page != null) {
                java.io.ByteArrayOutputStream words = new java.io.ByteArrayOutputStream();
                report.print(new PrintStream(words, true));
                HtmlReport.write(page, "martenlatch load", report, Map.of(), words.toString());
            }
            return status(report);
        }

        private void live(Second second) {
            out.printf(
                    Locale.ROOT,
                    "%4d s sent %6d served %6d refused %5d failed %5d timed out %5d unsent "
                            + "%5d  "
                            + "p50 %7.2f p99 %8.2f ms  late sends %d%n",
                    second.number() + 1,
                    second.wishes(),
                    second.count(RequestOutcome.SERVED),
                    second.count(RequestOutcome.REFUSED),
                    second.count(RequestOutcome.FAILED),
                    second.count(RequestOutcome.TIMED_OUT),
                    second.count(RequestOutcome.NOT_SENT),
                    second.ms(50),
                    second.ms(99),
                    second.lateSends());
        }
    }

    @Command(
            name = "world",
            mixinStandardHelpOptions = true,
            description = "Stand-in endpoints and discovery on loopback, until Ctrl-C.")
    static final class WorldCommand extends Base {
        @Parameters(paramLabel = "SETTINGS.toml", description = "see docs/load.md")
        private Path settings;

        @Override
        int work() throws IOException, InterruptedException {
            WorldFile file = WorldFile.read(settings);
            CountDownLatch stop = new CountDownLatch(1);
            try (World world = new World(file.settings(), file.discoveryPort())) {
                world.endpoints()
                        .forEach(one -> out.println(one.id() + " " + one.zone() + " 127.0.0.1:"
                                + one.address().getPort()));
                out.println("discovery 127.0.0.1:" + world.discovery().address().getPort());
                stopAtEnd(stop::countDown);
                long began = System.nanoTime();
                for (ScheduledEvent next : file.events()) {
                    long wait = (long) (next.atSeconds() * 1e9) - (System.nanoTime() - began);
                    if (stop.await(Math.max(0, wait), TimeUnit.NANOSECONDS)) {
                        break;
                    }
                    next.applyTo(world);
                    out.printf(Locale.ROOT, "%.1f s: %s%n", next.atSeconds(), next);
                }
                stop.await();
                out.println(world.ledger());
            }
            return 0;
        }
    }

    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description = "A world, a sidecar and a load in one process, with trouble half way.")
    static final class DemoCommand extends Base {
        @Option(names = "--seconds", defaultValue = "20", description = "how long, from 10 on " + "(${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--rate", defaultValue = "400", description = "requests a second (${DEFAULT-VALUE})")
        private int rate;

        @Option(names = "--report", paramLabel = "FILE.html", description = "writes a page with plots")
        private Path page;

        @Override
        int work() throws IOException, InterruptedException {
            Demo.Result result = new Demo(seconds, rate, out).run(this::stopAtEnd);
            out.print(result.summary());
            if (page != null) {
                HtmlReport.write(page, "martenlatch demo", result.report(), result.events(), result.summary());
                out.println("plots: " + page.toAbsolutePath());
            }
            return result.holds() ? 0 : 1;
        }
    }
}
