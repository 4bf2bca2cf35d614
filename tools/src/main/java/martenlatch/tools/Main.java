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
    private static final int MAX_STOP_WAIT_SECONDS = 660;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() {}

    /** Runs a command. Reports an error as one line and an exit status above 0. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream errors) {
        CommandLine line = new CommandLine(new Main());
        line.setOut(new java.io.PrintWriter(out, true));
        line.setErr(new java.io.PrintWriter(errors, true));
        line.getSubcommands().values().forEach(sub -> ((BaseCommand) sub.getCommand()).out = out);
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

    private abstract static class BaseCommand implements Callable<Integer> {
        protected PrintStream out = System.out;
        private final CountDownLatch finished = new CountDownLatch(1);

        /** On Ctrl-C or SIGTERM, runs {@code stop} and waits until the report is printed before the program ends. */
        protected void stopOnShutdown(Runnable stop) {
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                stop.run();
                                try {
                                    finished.await(MAX_STOP_WAIT_SECONDS, TimeUnit.SECONDS);
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
                finished.countDown();
            }
        }

        abstract int work() throws IOException, InterruptedException;
    }

    /** Returns the exit status of a load run. */
    private static int status(LoadReport report) {
        return !report.differences().isEmpty()
                ? DOES_NOT_ADD_UP
                : report.lateness().voidFrom() >= 0 ? TOO_SLOW : 0;
    }

    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description = "Sends a load that waits for no answer, and tells what came of it and of itself.")
    static final class Load extends BaseCommand {
        @Parameters(paramLabel = "SETTINGS.toml", description = "see docs/load.md")
        private Path settings;

        @Option(names = "--report", paramLabel = "FILE.html", description = "writes a page with plots")
        private Path htmlFile;

        @Option(names = "--quiet", description = "no line a second")
        private boolean quiet;

        @Override
        int work() throws IOException, InterruptedException {
            LoadSettings loadSettings = LoadSettings.read(settings);
            Arrivals arrivals = loadSettings.arrivals(complaint -> out.println("trace: " + complaint));
            if (loadSettings.plan().warmSeconds() > 0) {
                GeneratorWarmUp.run(loadSettings.classes());
            }
            LoadRun run = new LoadRun(
                    loadSettings.plan(),
                    arrivals,
                    (loop, maxConnections) ->
                            new HttpDriver(loop, loadSettings.plan().targets(), maxConnections),
                    quiet ? second -> {} : this::printSecond);
            stopOnShutdown(run::stop);
            LoadReport report = run.run();
            report.print(out);
            if (report.seconds().size() < report.plannedSeconds()) {
                out.printf(
                        Locale.ROOT,
                        "stopped after %d of %.0f s%n",
                        report.seconds().size(),
                        report.plannedSeconds());
            }
            if (htmlFile != null) {
                java.io.ByteArrayOutputStream text = new java.io.ByteArrayOutputStream();
                report.print(new PrintStream(text, true));
                HtmlReport.write(htmlFile, "martenlatch load", report, Map.of(), text.toString());
            }
            return status(report);
        }

        private void printSecond(Second second) {
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
    static final class WorldCommand extends BaseCommand {
        @Parameters(paramLabel = "SETTINGS.toml", description = "see docs/load.md")
        private Path settings;

        @Override
        int work() throws IOException, InterruptedException {
            WorldFile file = WorldFile.read(settings);
            CountDownLatch stop = new CountDownLatch(1);
            try (World world = new World(file.settings(), file.discoveryPort())) {
                world.endpoints()
                        .forEach(endpoint -> out.println(endpoint.id() + " " + endpoint.zone() + " 127.0.0.1:"
                                + endpoint.address().getPort()));
                out.println("discovery 127.0.0.1:" + world.discovery().address().getPort());
                stopOnShutdown(stop::countDown);
                long startNanos = System.nanoTime();
                for (ScheduledEvent event : file.events()) {
                    long waitNanos = (long) (event.atSeconds() * 1e9) - (System.nanoTime() - startNanos);
                    if (stop.await(Math.max(0, waitNanos), TimeUnit.NANOSECONDS)) {
                        break;
                    }
                    event.applyTo(world);
                    out.printf(Locale.ROOT, "%.1f s: %s%n", event.atSeconds(), event);
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
    static final class DemoCommand extends BaseCommand {
        @Option(names = "--seconds", defaultValue = "20", description = "how long, from 10 on " + "(${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--rate", defaultValue = "400", description = "requests a second (${DEFAULT-VALUE})")
        private int rate;

        @Option(names = "--report", paramLabel = "FILE.html", description = "writes a page with plots")
        private Path htmlFile;

        @Override
        int work() throws IOException, InterruptedException {
            Demo.Result result = new Demo(seconds, rate, out).run(this::stopOnShutdown);
            out.print(result.summary());
            if (htmlFile != null) {
                HtmlReport.write(htmlFile, "martenlatch demo", result.report(), result.events(), result.summary());
                out.println("plots: " + htmlFile.toAbsolutePath());
            }
            return result.holds() ? 0 : 1;
        }
    }
}
