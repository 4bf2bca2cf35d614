package martenlatch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import martenlatch.load.http.HttpDriver;
import martenlatch.world.Endpoint;
import martenlatch.world.EndpointFault;
import martenlatch.world.ServiceTime;
import martenlatch.world.World;
import martenlatch.world.WorldSettings;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the load generator against an emulated world with faults, on the loopback interface. */
@Timeout(60)
class LoadRunTest {

    private World world;

    @AfterEach
    void close() {
        if (world != null) {
            world.close();
        }
    }

    private Endpoint endpoint(WorldSettings settings) {
        world = new World(settings, 0);
        return world.endpoints().get(0);
    }

    private static LoadClass kind(LoadClass.Effect effect, int deadlineMs, int retries) {
        return new LoadClass("k", 1, effect, effect == LoadClass.Effect.REPEATABLE ? 0 : 20, deadlineMs, retries);
    }

    private static LoadRun run(
            InetSocketAddress to, LoadClass kind, String shape, int connections, Consumer<Second> live) {
        List<InetSocketAddress> targets = List.of(to);
        return new LoadRun(
                new LoadPlan(targets, 1, connections, 0),
                Arrivals.drawn(new Schedule(List.of(Shape.parse(shape)), false, 1), List.of(kind), 1),
                (loop, most) -> new HttpDriver(loop, targets, most),
                live);
    }

    private static String printed(LoadReport report) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        report.print(new PrintStream(out, true));
        return out.toString();
    }

    @Test
    void whatIsServedIsCountedOnBothSides() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 1")));
        LoadReport report = run(
                        endpoint.address(), kind(LoadClass.Effect.KEYED, 2_000, 0), "constant 500 1", 200, second -> {})
                .run();
        assertEquals(500, report.all().wishes());
        assertEquals(500, report.all().count(RequestOutcome.SERVED));
        assertEquals(500, world.ledger().ids());
        assertEquals(0, world.ledger().runTwice());
        assertEquals(List.of(), report.differences());
        assertEquals(500, report.seconds().stream().mapToLong(Second::wishes).sum());
        assertTrue(printed(report).contains("generator: ") || printed(report).contains("GENERATOR"), printed(report));
    }

    /**
     * 200 requests per second for 3 s, with a stall of 1 s: 200 of the 600 requests arrive during the stall and wait
     * for the rest of it, evenly from 1000 ms down to 0. So 1 % of all (6) wait at least 1000 * (1 - 6/200) = 970 ms,
     * and 10 % (60) at least 700 ms.
     */
    @Test
    void aStallShowsInTheTailAsArithmeticSaysAndAClosedLoopHidesIt() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 1")));
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.REPEATABLE, 5_000, 0),
                        "constant 200 3",
                        1000,
                        second -> {
                            if (second.number() == 0) {
                                endpoint.stall(1000);
                            }
                        })
                .run();
        Histogram times = report.all().served();
        assertEquals(600, times.getTotalCount());
        assertTrue(times.getValueAtPercentile(99) >= 960_000, "p99 " + times.getValueAtPercentile(99));
        assertTrue(times.getValueAtPercentile(90) >= 690_000, "p90 " + times.getValueAtPercentile(90));
        assertTrue(times.getValueAtPercentile(50) < 600_000, "p50 " + times.getValueAtPercentile(50));
        // The service caused the latency: the generator's own sends were not that late.
        assertTrue(report.lateness().sendLateness().getMaxValue() < 900_000_000L, report.verdict());

        Histogram closed = new Histogram(3_600_000_000L, 3);
        try (Socket socket =
                new Socket(endpoint.address().getAddress(), endpoint.address().getPort())) {
            byte[] answer = new byte[4096];
            for (int i = 0; i < 400; i++) {
                if (i == 200) {
                    endpoint.stall(1000);
                }
                long began = System.nanoTime();
                socket.getOutputStream()
                        .write(("GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: c" + i + "\r\n\r\n").getBytes());
                assertTrue(socket.getInputStream().read(answer) > 0);
                closed.recordValue((System.nanoTime() - began) / 1000);
            }
        }
        assertTrue(closed.getMaxValue() >= 900_000, "the closed loop must meet the stall");
        assertTrue(
                closed.getValueAtPercentile(99) < 500_000,
                "the 99th percentile of a closed loop must not show the stall");
    }

    /** The event loop is blocked on purpose and the service answers at once, so the lateness is the generator's. */
    @Test
    void aStarvedGeneratorSaysSo() throws Exception {
        LoadReport report = blockedRun(kind(LoadClass.Effect.REPEATABLE, 5_000, 0), 1000, 600);
        assertEquals(1000, report.all().count(RequestOutcome.SERVED));
        assertTrue(report.lateness().voidFrom() >= 0 && report.lateness().voidFrom() <= 1, report.verdict());
        assertTrue(report.lateness().lateShare() > 0.1, report.verdict());
        assertTrue(report.lateness().longestPauseNanos() >= 390_000_000L, report.verdict());
        assertTrue(printed(report).contains("GENERATOR TOO SLOW: figures from second"), printed(report));
    }

    /**
     * Guards against a backlog that sustains itself: requests sent late with no time left would time out at once and
     * cost a connection each. Here the backlog is longer than the deadline of a request.
     */
    @Test
    void aGeneratorThatWasStarvedCatchesUp() throws Exception {
        LoadReport report = blockedRun(kind(LoadClass.Effect.UNSAFE, 300, 0), 20, 300);
        assertEquals(1000, report.all().wishes());
        assertEquals(0, report.all().count(RequestOutcome.NOT_SENT), printed(report));
        assertTrue(report.all().count(RequestOutcome.SERVED) >= 990, printed(report));
        assertTrue(report.lateness().voidFrom() >= 0, "results after the block must be void");
    }

    /** Sends 1000 arrivals in 2 s to a service that answers at once, and blocks the event loop at one of the sends. */
    private LoadReport blockedRun(LoadClass kind, int connections, int atSend) throws Exception {
        List<InetSocketAddress> targets = List.of(endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")))
                .address());
        return new LoadRun(
                        new LoadPlan(targets, 1, connections, 0),
                        Arrivals.drawn(
                                new Schedule(List.of(Shape.parse("constant 500 2")), false, 1), List.of(kind), 1),
                        (loop, most) -> blocking(new HttpDriver(loop, targets, most), atSend),
                        second -> {})
                .run();
    }

    /** Returns a driver that blocks the generator's event loop for 400 ms at one of its sends. */
    private static Driver blocking(Driver driver, int atSend) {
        return new Driver() {
            private int sends;

            @Override
            public Call send(Arrival arrival, String id, boolean retry, long leftNanos, Ending ending) {
                if (++sends == atSend) {
                    try {
                        Thread.sleep(400);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                return driver.send(arrival, id, retry, leftNanos, ending);
            }

            @Override
            public void close() {
                driver.close();
            }
        };
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, SERVED, ",
        "RESETS, FAILED, reset|closed",
        "HALF, FAILED, cut short",
        "GARBLES, FAILED, no HTTP",
        "HANGS, TIMED_OUT, no answer",
        "DEAF, TIMED_OUT, no answer",
        "ERRORS, FAILED, status 500",
        "TWICE, SERVED, "
    })
    void eachRequestEndsInOneCount(EndpointFault trouble, RequestOutcome end, String cause) throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")));
        endpoint.trouble(trouble);
        int deadline = end == RequestOutcome.TIMED_OUT ? 300 : 5_000;
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.UNSAFE, deadline, 0),
                        "constant 200 0.5",
                        400,
                        second -> {})
                .run();
        LoadStats all = report.all();
        assertEquals(100, all.wishes());
        // A very busy machine may miss the short deadline before some sends; each still counts exactly once.
        assertEquals(
                100,
                all.count(end) + (end == RequestOutcome.TIMED_OUT ? all.count(RequestOutcome.NOT_SENT) : 0),
                printed(report));
        assertEquals(100, all.ended());
        assertEquals(0, all.open());
        assertEquals(List.of(), report.differences());
        if (cause != null && !cause.isEmpty()) {
            assertTrue(all.causes().keySet().stream().anyMatch(said -> said.matches(cause)), printed(report));
        }
        if (trouble == EndpointFault.TWICE) {
            assertEquals(100, endpoint.accepts(), "unrequested data must close the connection");
        }
        if (trouble != EndpointFault.DEAF) {
            assertTrue(world.ledger().runTwice() == 0, "no request may run twice");
        }
    }

    /** Guards against an answer that arrives after its request was given up and would count as a second outcome. */
    @Test
    void anAnswerThatComesTooLateIsNoSecondEnd() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 300")));
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.UNSAFE, 100, 0),
                        "constant 100 1.5",
                        400,
                        second -> {})
                .run();
        LoadStats all = report.all();
        assertEquals(150, all.wishes());
        assertEquals(150, all.count(RequestOutcome.TIMED_OUT) + all.count(RequestOutcome.NOT_SENT), printed(report));
        assertEquals(150, all.ended());
        assertEquals(List.of(), report.differences());
        assertTrue(world.ledger().receivedCount() > 0, "requests must have reached the endpoint");
    }

    @Test
    void aServiceThatIsNotThereFailsEachAtOnce() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")));
        world.die(0);
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.REPEATABLE, 5_000, 0),
                        "constant 200 0.5",
                        50,
                        second -> {})
                .run();
        assertEquals(100, report.all().count(RequestOutcome.FAILED), printed(report));
        assertEquals(100L, report.all().causes().get("no connect"));
    }

    /**
     * With one connection, 500 ms per request and a deadline of 3 s, about 6 of 100 requests can be sent; the others
     * must be counted too. The times are long compared with the pauses of a busy machine.
     */
    @Test
    void sendsThatFoundNoConnectionAreCounted() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 500")));
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.REPEATABLE, 3000, 0),
                        "constant 10000 0.01",
                        1,
                        second -> {})
                .run();
        LoadStats all = report.all();
        assertEquals(100, all.ended());
        assertTrue(all.count(RequestOutcome.NOT_SENT) >= 50, printed(report));
        assertTrue(all.count(RequestOutcome.SERVED) >= 1 && all.count(RequestOutcome.SERVED) <= 6, printed(report));
        assertTrue(report.waits() > 0, printed(report));
        assertTrue(all.all().getValueAtPercentile(90) >= 2_900_000, "the time of unsent requests must count");
        assertTrue(printed(report).contains("at most 1 connections"), printed(report));
    }

    /**
     * A rejected request is retried as a new request; an unsafe one is not retried after a failure, as it may have run.
     */
    @Test
    void retriesAreThoseOfThePlatformsClients() throws Exception {
        WorldSettings full =
                new WorldSettings(1, List.of("a"), ServiceTime.parse("constant 300"), 1, 0, 0, 1, 500, 1, 1000, 1);
        Endpoint endpoint = endpoint(full);
        LoadReport refused = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.UNSAFE, 5_000, 2),
                        "constant 20 0.2",
                        50,
                        second -> {})
                .run();
        assertTrue(refused.all().requests() > refused.all().wishes(), printed(refused));
        assertEquals(4, refused.all().ended());
        assertEquals(0, world.ledger().runTwice());
        endpoint.trouble(EndpointFault.ERRORS);
        LoadReport unsafe = run(
                        endpoint.address(), kind(LoadClass.Effect.UNSAFE, 5_000, 2), "constant 2 0.6", 50, second -> {})
                .run();
        assertEquals(unsafe.all().wishes(), unsafe.all().requests(), printed(unsafe));
        LoadReport keyed = run(
                        endpoint.address(), kind(LoadClass.Effect.KEYED, 5_000, 2), "constant 2 0.6", 50, second -> {})
                .run();
        assertEquals(3 * keyed.all().wishes(), keyed.all().requests(), printed(keyed));
    }

    @Test
    void aStopGivesTheReportOfWhatWasDone() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 1")));
        LoadRun[] run = new LoadRun[1];
        run[0] = run(
                endpoint.address(),
                kind(LoadClass.Effect.REPEATABLE, 5_000, 0),
                "constant 100 3600",
                50,
                second -> run[0].stop());
        LoadReport report = run[0].run();
        assertTrue(report.all().wishes() >= 50, printed(report));
        assertEquals(report.all().wishes(), report.all().ended());
        assertEquals(List.of(), report.differences());
    }

    @Test
    void aRateBeyondTheMachineIsSaidToBe() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")));
        LoadReport report = run(
                        endpoint.address(),
                        kind(LoadClass.Effect.REPEATABLE, 5_000, 0),
                        "constant 3000000 0.01",
                        16,
                        second -> {})
                .run();
        assertEquals(30_000, report.all().ended());
        assertTrue(report.lateness().voidFrom() == 0, report.verdict());
    }

    @Test
    void manyWorkersShareOneSourceAndNothingIsLostBetweenThem() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")));
        List<InetSocketAddress> targets = List.of(endpoint.address());
        List<Second> seconds = new ArrayList<>();
        LoadReport report = new LoadRun(
                        new LoadPlan(targets, 3, 64, 0),
                        Arrivals.drawn(
                                new Schedule(List.of(Shape.parse("constant 1000 2")), true, 5),
                                List.of(kind(LoadClass.Effect.REPEATABLE, 5_000, 0)),
                                1),
                        (loop, most) -> new HttpDriver(loop, targets, most),
                        seconds::add)
                .run();
        assertEquals(report.all().wishes(), report.all().count(RequestOutcome.SERVED), printed(report));
        assertEquals(report.all().wishes(), world.ledger().ids());
        assertEquals(
                report.all().wishes(),
                seconds.stream().mapToLong(Second::wishes).sum());
        for (int i = 0; i < seconds.size(); i++) {
            assertEquals(i, seconds.get(i).number());
        }
    }

    @Test
    void aTraceThatBreaksInTheMiddleEndsTheRunWithItsReason() throws Exception {
        Endpoint endpoint = endpoint(WorldSettings.plain(1, ServiceTime.parse("constant 0")));
        List<InetSocketAddress> targets = List.of(endpoint.address());
        Arrivals broken = new Arrivals() {
            private int count;

            @Override
            public Arrival next() throws IOException {
                if (count == 10) {
                    throw new IOException("unexpected end of the file");
                }
                return new Arrival(
                        count, count++ * 1_000_000L, kind(LoadClass.Effect.REPEATABLE, 1000, 0), null, 0, 1000);
            }

            @Override
            public double seconds() {
                return 1;
            }
        };
        String said = assertThrows(
                        IOException.class,
                        () -> new LoadRun(
                                        new LoadPlan(targets, 1, 64, 0),
                                        broken,
                                        (loop, most) -> new HttpDriver(loop, targets, most),
                                        second -> {})
                                .run())
                .getMessage();
        assertEquals("unexpected end of the file", said);
    }
}
