package martenlatch.demo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import martenlatch.load.Arrivals;
import martenlatch.load.LoadClass;
import martenlatch.load.LoadPlan;
import martenlatch.load.LoadReport;
import martenlatch.load.LoadRun;
import martenlatch.load.RequestOutcome;
import martenlatch.load.Schedule;
import martenlatch.load.Second;
import martenlatch.load.Shape;
import martenlatch.load.http.HttpDriver;
import martenlatch.sidecar.Sidecar;
import martenlatch.sidecar.StartOptions;
import martenlatch.world.ScheduledEvent;
import martenlatch.world.ServiceTime;
import martenlatch.world.World;
import martenlatch.world.WorldSettings;

/**
 * Demonstrates a sidecar in front of emulated endpoints under load: one endpoint hangs, one drains, and one crashes and
 * restarts cold. Everything runs in one process on the loopback interface.
 */
public final class Demo {

    private static final int ENDPOINTS = 6;
    private static final int WARM_UP_SECONDS = 2;
    private static final int CONNECTIONS = 256;
    private static final int BAR_WIDTH = 20;
    private static final long SEED = 20_261_201;

    private final int seconds;
    private final int rate;
    private final PrintStream out;
    private final Map<Integer, String> appliedEvents = new TreeMap<>();
    private final Deque<ScheduledEvent> schedule = new ArrayDeque<>();
    private World world;
    private LoadRun run;

    /**
     * Creates a demo that has not begun.
     *
     * @param seconds duration in seconds, 10 or more
     * @param rate arrivals per second
     */
    public Demo(int seconds, int rate, PrintStream out) {
        if (seconds < 10 || seconds > 3600) {
            throw new IllegalArgumentException("seconds must be 10 to 3600 but is " + seconds);
        }
        if (rate < 1 || rate > 20_000) {
            throw new IllegalArgumentException("rate must be 1 to 20000 but is " + rate);
        }
        this.seconds = seconds;
        this.rate = rate;
        this.out = out;
        scheduleEvent(0.25, ScheduledEvent.Action.HANG, 0);
        scheduleEvent(0.4, ScheduledEvent.Action.RECOVER, 0);
        scheduleEvent(0.5, ScheduledEvent.Action.DRAIN, 1);
        scheduleEvent(0.65, ScheduledEvent.Action.DIE, 2);
        scheduleEvent(0.8, ScheduledEvent.Action.RESTART, 2);
    }

    private void scheduleEvent(double share, ScheduledEvent.Action action, int endpoint) {
        schedule.add(new ScheduledEvent(Math.floor(share * seconds), action, endpoint, "", Double.NaN));
    }

    /**
     * The result of a demo.
     *
     * @param events the applied events, by second
     * @param holds whether the counts match and no rule of the protocol was broken
     */
    public record Result(LoadReport report, Map<Integer, String> events, String summary, boolean holds) {}

    /** Runs the demo; {@code begun} receives a task that stops the run early. */
    public Result run(Consumer<Runnable> begun) throws IOException, InterruptedException {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        Path config = Files.createTempFile("martenlatch-demo", ".json");
        world = new World(
                new WorldSettings(
                        ENDPOINTS,
                        List.of("north", "east"),
                        ServiceTime.parse("lognormal 8 0.5"),
                        16,
                        16,
                        1500,
                        4,
                        500,
                        1,
                        2_000_000,
                        SEED),
                0);
        Sidecar sidecar = null;
        try {
            Files.writeString(config, config());
            sidecar = Sidecar.start(StartOptions.of(config), new PrintStream(log, true, StandardCharsets.UTF_8));
            out.printf(
                    "%d endpoints in 2 zones, discovery at %s, one sidecar at %s; %d requests a second "
                            + "for "
                            + "%d s%n",
                    ENDPOINTS, world.discovery().address(), sidecar.address(), rate, seconds);
            LoadReport report = load(sidecar.address(), begun);
            Thread.sleep(50);
            return result(report, log);
        } finally {
            if (sidecar != null) {
                sidecar.stop();
            }
            world.close();
            Files.deleteIfExists(config);
        }
    }

    private LoadReport load(InetSocketAddress sidecar, Consumer<Runnable> begun)
            throws IOException, InterruptedException {
        List<LoadClass> classes = List.of(
                new LoadClass("look-up", 6, LoadClass.Effect.REPEATABLE, 0, 1000, 1),
                new LoadClass("update", 2, LoadClass.Effect.KEYED, 200, 1500, 1),
                new LoadClass("book", 2, LoadClass.Effect.UNSAFE, 400, 1500, 1));
        List<InetSocketAddress> targets = List.of(sidecar);
        run = new LoadRun(
                new LoadPlan(targets, 1, CONNECTIONS, WARM_UP_SECONDS),
                Arrivals.drawn(new Schedule(List.of(new Shape.Constant(rate, seconds)), true, SEED), classes, SEED),
                (loop, maxConnections) -> new HttpDriver(loop, targets, maxConnections),
                this::printSecond);
        begun.accept(run::stop);
        return run.run();
    }

    private void printSecond(Second second) {
        int elapsedSeconds = Math.min(seconds, second.number() + 1);
        String bar = "#".repeat(BAR_WIDTH * elapsedSeconds / seconds);
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT,
                "%3d s [%-" + BAR_WIDTH + "s] sent %5d served %5d refused %4d failed %4d timed out %4d  p50 %6.1f "
                        + "p99 %7.1f ms",
                elapsedSeconds,
                bar,
                second.wishes(),
                second.count(RequestOutcome.SERVED),
                second.count(RequestOutcome.REFUSED),
                second.count(RequestOutcome.FAILED),
                second.count(RequestOutcome.TIMED_OUT) + second.count(RequestOutcome.NOT_SENT),
                second.ms(50),
                second.ms(99)));
        while (!schedule.isEmpty() && schedule.peek().atSeconds() <= elapsedSeconds && elapsedSeconds < seconds) {
            ScheduledEvent next = schedule.poll();
            next.applyTo(world);
            appliedEvents.merge(elapsedSeconds, next.toString(), (a, b) -> a + ", " + b);
            line.append("  <- ").append(next);
        }
        out.println(line);
    }

    private String config() {
        return """
            {"name":"demo","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":4096},"known":%s,
            "settings":{"azs":["north","east"],"models":["stand-in"],"replicas-of-me":1,"slot-no":0,"tier":0,
            "zone":0,"membership-mode":"on_request","classes":[
            {"name":"look-up","effect":"repeatable","group":"all",
            "hard-limit-ms":1000,"slo-ms":300,"worth":1},
            {"name":"update","effect":"by_key","group":"all","memory-span-ms":10000,
            "hard-limit-ms":1500,"slo-ms":400,"worth":2},
            {"name":"book","effect":"once","group":"all","hard-limit-ms":1500,"slo-ms":400,"worth":4}],
            "limits":{"cancel":true,"dial-timeout-ms":250,"idle-close-ms":15000,"max-retry-after-ms":2000,
            "parallel-tries":true,"retry-after":true,"try-limit":3},
            "rules":{"cold-share":0.3,"cold-ms":1500,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,
            "ask-within-ms":1000}}}""".formatted(
                world.discovery().address().getPort(), SEED, world.discovery().list());
    }

    private Result result(LoadReport report, ByteArrayOutputStream log) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrintStream summary = new PrintStream(text, true, StandardCharsets.UTF_8);
        summary.println("What clients saw (the first " + WARM_UP_SECONDS + " s left out):");
        report.print(summary);
        summary.println("What endpoints saw: " + world.ledger());
        boolean holds = report.differences().isEmpty()
                && world.ledger().unsafeAgainCount() == 0
                && world.ledger().afterDrainCount() == 0;
        summary.println(
                holds
                        ? "Held: each request one end, nothing unsafe run twice, nothing sent 500 ms after a drain was "
                                + "told."
                        : "BROKEN: see the figures above.");
        if (report.lateness().voidFrom() >= 0) {
            summary.println("The times are rough: this machine was busy, and the load generator late.");
        }
        summary.println("The sidecar's log had "
                + log.toString(StandardCharsets.UTF_8).lines().count() + " lines.");
        return new Result(report, appliedEvents, text.toString(StandardCharsets.UTF_8), holds);
    }
}
