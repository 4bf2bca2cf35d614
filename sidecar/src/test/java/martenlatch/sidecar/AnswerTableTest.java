package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import martenlatch.sidecar.WaitingClient.Conduct;
import martenlatch.sidecar.WaitingClient.Request;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Walks a table of answers against a sidecar process: how much of an answer an endpoint writes and when, what its
 * client does, and what happens to the process when the client's time is up. A run in which the machine held up the
 * process or the clients is inconclusive and is repeated.
 */
@Timeout(value = 600, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AnswerTableTest {

    /** What happens to the process around the end of the requests' time. */
    enum Disturbance {
        NONE(0, 0),
        TERMINATED_BEFORE(-300, 0),
        TERMINATED_AT_TIME(-20, 0),
        TERMINATED_AFTER(500, 0),
        RELOADED(-60, 0),
        HELD_UP(-45, 150);

        /** When it begins, relative to the end of the requests' time. */
        private final int atMs;

        private final int heldUpMs;

        Disturbance(int atMs, int heldUpMs) {
            this.atMs = atMs;
            this.heldUpMs = heldUpMs;
        }
    }

    private static final int ENDPOINTS = 50;
    private static final int CELLS_IN_A_RUN = 80;
    /** The longest time of a request, and the deadline of all request classes. */
    private static final int MAX_TIME_MS = 1000;

    private static final int SEND_INTERVAL_MS = 4;
    /** The time of each request where the process is not disturbed; the requests end one after another. */
    private static final int TIME_MS = MAX_TIME_MS - CELLS_IN_A_RUN * SEND_INTERVAL_MS;
    /** The page's earliest SIGKILL after SIGTERM. */
    private static final int KILL_DELAY_MS = MAX_TIME_MS + 700;

    /** An answer that is still being written this long before SIGKILL may be cut, as it cannot become whole. */
    private static final int CUT_BEFORE_KILL_MS = 300;

    private static final int MAX_RUNS_OF_A_CELL = 10;
    private static final int WARM_UP_REQUESTS = 60;
    /** The time after its own in which the last client leaves that doesn't stay. */
    private static final int LEAVING_MS = 60;

    /** The conducts that are walked with a disturbance. */
    private static final List<Conduct> CONDUCTS_DISTURBED =
            List.of(Conduct.LEAVES_60_MS_AFTER, Conduct.STAYS, Conduct.REQUEST_BEHIND);

    /** One cell of the table. */
    private record Cell(EndpointAnswer answer, EndpointAnswer.Framing framing, Conduct conduct) {}

    /** Guards against answers that are cut early, that never end, and that come after their client has left. */
    @ParameterizedTest
    @EnumSource
    void clientHasItsAnswerInItsTime(Disturbance disturbance) throws Exception {
        List<Cell> cells = cells(disturbance);
        List<Cell> remaining = cells;
        List<String> violations = new ArrayList<>();
        for (int i = 0; i < MAX_RUNS_OF_A_CELL && !remaining.isEmpty(); i++) {
            List<Cell> inconclusive = new ArrayList<>();
            for (int from = 0; from < remaining.size(); from += CELLS_IN_A_RUN) {
                int to = Math.min(remaining.size(), from + CELLS_IN_A_RUN);
                try (Run run = new Run(remaining.subList(from, to), disturbance)) {
                    run.play();
                    violations.addAll(run.violations);
                    inconclusive.addAll(run.inconclusive);
                }
            }
            remaining = inconclusive;
            System.out.println("answer table, " + disturbance + ": " + remaining.size() + " cells are repeated");
        }
        assertEquals(List.of(), violations, violations.size() + " violations in " + cells.size() + " cells");
        assertEquals(List.of(), remaining, "the machine was held up each time");
    }

    private static List<Cell> cells(Disturbance disturbance) {
        List<Cell> cells = new ArrayList<>();
        List<Conduct> conducts = disturbance == Disturbance.NONE ? List.of(Conduct.values()) : CONDUCTS_DISTURBED;
        for (boolean goesOn : new boolean[] {false, true}) {
            for (Conduct conduct : conducts) {
                for (EndpointAnswer answer : EndpointAnswer.values()) {
                    if (answer.isFlow() == goesOn) {
                        addInAllFramings(cells, answer, conduct);
                    }
                }
            }
        }
        return cells;
    }

    private static void addInAllFramings(List<Cell> cells, EndpointAnswer answer, Conduct conduct) {
        for (EndpointAnswer.Framing framing : EndpointAnswer.Framing.values()) {
            cells.add(new Cell(answer, framing, conduct));
        }
    }

    /** Some cells, played at the same time against one process. */
    private static final class Run implements AutoCloseable {
        private final List<Cell> cells;
        private final Disturbance disturbance;
        private final TableEndpoints endpoints = new TableEndpoints();
        private final AnswerJudge judge;
        private final SidecarFixture fixture;
        private final Map<Cell, List<WaitingClient.Observation>> observations = new ConcurrentHashMap<>();
        private final List<String> testFailures = new CopyOnWriteArrayList<>();
        private final List<String> violations = new ArrayList<>();
        private final List<Cell> inconclusive = new ArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private SidecarProcess process;
        private HealthChecks healthChecks;
        private long startNanos;
        /** The time from which an answer may be cut, as the process is about to be killed. */
        private volatile long cutFromNanos = Long.MAX_VALUE;

        Run(List<Cell> cells, Disturbance disturbance) throws IOException {
            this.cells = cells;
            this.disturbance = disturbance;
            judge = new AnswerJudge(endpoints, disturbance.heldUpMs, () -> cutFromNanos);
            fixture = endpoints.fixture(ENDPOINTS);
            fixture.classDeadlineMs = MAX_TIME_MS;
            fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        }

        void play() throws Exception {
            process = SidecarProcess.start(fixture);
            warmUp();
            List<WaitingClient> clients = new ArrayList<>();
            for (int i = 0; i < cells.size(); i++) {
                clients.add(client(i));
            }
            startNanos = System.nanoTime();
            healthChecks = new HealthChecks(process.address());
            for (int i = 0; i < cells.size(); i++) {
                start(i, clients.get(i));
            }
            disturb();
            for (Thread thread : threads) {
                thread.join(SidecarFixture.AWAIT_TIMEOUT_MS);
            }
            healthChecks.close();
            observations.forEach(this::judge);
            assertEquals(cells.size(), observations.size() + testFailures.size(), "some clients have not ended");
            violations.addAll(testFailures);
        }

        private void warmUp() throws IOException {
            for (int i = 0; i < WARM_UP_REQUESTS; i++) {
                try (RawHttpClient client = RawHttpClient.connect(process.address())) {
                    client.send("GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: warm" + i
                            + "\r\nX-Class: read\r\nX-Deadline-Ms: " + MAX_TIME_MS + "\r\n\r\n");
                    client.read();
                }
            }
        }

        private WaitingClient client(int index) throws IOException {
            Cell cell = cells.get(index);
            String requestClass = index % 2 == 0 ? "order" : "read";
            int timeMs = disturbance == Disturbance.NONE ? TIME_MS : MAX_TIME_MS - index * SEND_INTERVAL_MS;
            Request request = new Request("t" + index, requestClass, cell.answer, cell.framing, timeMs);
            return new WaitingClient(process.address(), cell.conduct, request);
        }

        private void start(int index, WaitingClient client) {
            Thread thread = new Thread(
                    null,
                    () -> {
                        try {
                            sleepUntil(index * SEND_INTERVAL_MS);
                            observations.put(cells.get(index), client.run());
                        } catch (Exception e) {
                            testFailures.add("the test failed: " + e);
                        }
                    },
                    "table",
                    256 * 1024);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }

        private void judge(Cell cell, List<WaitingClient.Observation> seen) {
            List<String> violated = judge.judge(cell.conduct, seen);
            boolean forwarded = judge.wasForwarded(cell.conduct, seen);
            if (!forwarded || (!violated.isEmpty() && wasHeldUp(seen.get(0)))) {
                inconclusive.add(cell);
            } else {
                violations.addAll(violated);
            }
        }

        /** Returns whether the machine held up the process or the clients while a request was under way. */
        private boolean wasHeldUp(WaitingClient.Observation seen) {
            int untilMs = seen.request().timeMs() + LEAVING_MS;
            long untilNanos = seen.sentNanos() + TimeUnit.MILLISECONDS.toNanos(untilMs);
            if (disturbance.heldUpMs > 0) {
                untilNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(MAX_TIME_MS + disturbance.atMs);
            }
            return healthChecks.wereSlow(seen.sentNanos(), untilNanos);
        }

        private void sleepUntil(int afterStartMs) throws InterruptedException {
            TimeUnit.NANOSECONDS.sleep(startNanos + TimeUnit.MILLISECONDS.toNanos(afterStartMs) - System.nanoTime());
        }

        private void disturb() throws Exception {
            sleepUntil(MAX_TIME_MS + disturbance.atMs);
            switch (disturbance) {
                case TERMINATED_BEFORE, TERMINATED_AT_TIME, TERMINATED_AFTER -> {
                    cutFromNanos =
                            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MS - CUT_BEFORE_KILL_MS);
                    process.terminate();
                    if (!process.awaitExit(KILL_DELAY_MS)) {
                        process.kill();
                    }
                }
                case RELOADED -> process.reload();
                case HELD_UP -> process.holdUp(disturbance.heldUpMs);
                default -> {}
            }
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                process.close();
            }
            fixture.close();
        }
    }
}
