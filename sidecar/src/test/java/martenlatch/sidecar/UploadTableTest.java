package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import martenlatch.sidecar.UploadClient.Observation;
import martenlatch.sidecar.UploadClient.Writing;
import martenlatch.sidecar.UploadEndpoint.Pace;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Walks a table of uploads against a sidecar process: how long the body is and how it is framed, how the client writes
 * it, how the endpoint reads it, and the buffers of both.
 */
@Timeout(value = 600, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UploadTableTest {

    private static final int TIME_MS = 1000;
    /** An answer that is later than this after its time is lost. */
    private static final int MAX_LATE_MS = 500;
    /** An upload that its endpoint can read in the time less this has to be served. */
    private static final int RESERVE_MS = 400;

    private static final int MB = 1_000_000;
    private static final int[] SIZES = {3 * MB / 10, 2 * MB, 5 * MB, 9 * MB};
    private static final int SMALL_BUFFER_BYTES = 32 * 1024;
    private static final int DEFAULT_BUFFER = 0;
    private static final int ENDPOINTS = 30;
    private static final int CELLS_IN_A_RUN = 28;
    private static final int MAX_RUNS_OF_A_CELL = 3;
    private static final int ENDED_CLIENTS_TIMEOUT_MS = 60_000;

    /** One cell of the table. */
    private record Cell(Pace pace, Writing writing, boolean chunked, int size, int sendBufferBytes) {
        /** Returns whether an endpoint can read the body within the latency objective, whatever the buffers hold. */
        boolean canBeServed(int objectiveMs) {
            return pace.durationMs(size) <= objectiveMs - RESERVE_MS;
        }
    }

    /** Guards against uploads whose final answer comes long after their time, as the endpoint reads slowly. */
    @ParameterizedTest
    @CsvSource({"32768, 1000", "1048576, 1000", "32768, 500"})
    void uploadHasItsFinalAnswerInItsTime(int endpointBufferBytes, int objectiveMs) throws Exception {
        List<Cell> remaining = cells();
        int cellCount = remaining.size();
        List<String> violations = new ArrayList<>();
        for (int i = 0; i < MAX_RUNS_OF_A_CELL && !remaining.isEmpty(); i++) {
            List<Cell> rejected = new ArrayList<>();
            for (int from = 0; from < remaining.size(); from += CELLS_IN_A_RUN) {
                int to = Math.min(remaining.size(), from + CELLS_IN_A_RUN);
                play(remaining.subList(from, to), endpointBufferBytes, objectiveMs, violations, rejected);
            }
            remaining = rejected;
            System.out.println("upload table: " + remaining.size() + " cells are repeated");
        }
        assertEquals(List.of(), violations, violations.size() + " violations in " + cellCount + " cells");
        assertEquals(List.of(), remaining, "rejected at once each time");
    }

    private static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (int size : SIZES) {
            for (Pace pace : Pace.values()) {
                for (boolean chunked : new boolean[] {false, true}) {
                    cells.add(new Cell(pace, Writing.AT_ONCE, chunked, size, DEFAULT_BUFFER));
                    cells.add(new Cell(pace, Writing.AT_ONCE, chunked, size, SMALL_BUFFER_BYTES));
                    cells.add(new Cell(pace, Writing.SLOWLY, chunked, size, DEFAULT_BUFFER));
                    cells.add(new Cell(pace, Writing.PAUSES, chunked, size, DEFAULT_BUFFER));
                }
            }
        }
        return cells;
    }

    /** Plays some cells at the same time against one process. */
    private static void play(
            List<Cell> cells, int endpointBufferBytes, int objectiveMs, List<String> violations, List<Cell> rejected)
            throws Exception {
        List<UploadEndpoint> endpoints = new ArrayList<>();
        FakeEndpoint[] fakes = new FakeEndpoint[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new UploadEndpoint(endpointBufferBytes));
            fakes[i] = endpoints.get(i).fakeEndpoint();
        }
        SidecarFixture fixture = new SidecarFixture(fakes);
        fixture.classDeadlineMs = TIME_MS;
        fixture.latencyObjectiveMs = objectiveMs;
        fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        List<String> found = new CopyOnWriteArrayList<>();
        StringBuilder log = new StringBuilder();
        List<Cell> rejectedAtOnce = new CopyOnWriteArrayList<>();
        try (SidecarProcess process = SidecarProcess.start(fixture)) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < cells.size(); i++) {
                Cell cell = cells.get(i);
                String id = "u" + i;
                UploadClient client = connect(process, id, cell);
                Thread thread = new Thread(
                        () -> run(client, id, cell, objectiveMs, endpoints, found, rejectedAtOnce), "client");
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join(ENDED_CLIENTS_TIMEOUT_MS);
            }
            log.append(process.log());
        } finally {
            fixture.close();
        }
        if (!found.isEmpty()) {
            System.out.println(found.size() + " violations, log of the process:\n" + log);
        }
        violations.addAll(found);
        rejected.addAll(rejectedAtOnce);
    }

    private static UploadClient connect(SidecarProcess process, String id, Cell cell) throws IOException {
        byte[] body = LongBodies.bytes(cell.size(), cell.size());
        return new UploadClient(
                process.address(),
                id,
                TIME_MS,
                cell.pace(),
                cell.writing(),
                cell.chunked(),
                body,
                cell.sendBufferBytes());
    }

    private static void run(
            UploadClient client,
            String id,
            Cell cell,
            int objectiveMs,
            List<UploadEndpoint> endpoints,
            List<String> violations,
            List<Cell> rejectedAtOnce) {
        try {
            Observation seen = client.run();
            int executions = endpoints.stream()
                    .mapToInt(endpoint -> endpoint.executions(id))
                    .sum();
            boolean rejected = seen.status() == 503 || seen.status() == 429;
            // Neither is slow enough to say anything about the upload: the balancer had no slot for it.
            if (rejected && executions == 0 && seen.answeredMs() < TIME_MS / 10.0) {
                rejectedAtOnce.add(cell);
                return;
            }
            judge(id, cell, objectiveMs, seen, executions, violations);
        } catch (Exception e) {
            violations.add(id + " " + cell + ": the test failed: " + e);
        }
    }

    private static void judge(
            String id, Cell cell, int objectiveMs, Observation seen, int executions, List<String> violations) {
        boolean answeredWhileWriting = Double.isNaN(seen.writtenMs()) || seen.answeredMs() < seen.writtenMs();
        if (Double.isNaN(seen.answeredMs())) {
            violations.add(id + " " + cell + ": no answer, " + seen);
        } else if (!answeredWhileWriting && seen.answeredMs() > seen.writtenMs() + TIME_MS + MAX_LATE_MS) {
            violations.add(id + " " + cell + ": answered too late, " + seen);
        }
        if (cell.canBeServed(objectiveMs) && seen.status() != 200) {
            violations.add(id + " " + cell + ": could have been served, " + seen);
        }
        boolean rejected = seen.status() == 503 || seen.status() == 429;
        if (executions > 1 || (rejected && executions > 0)) {
            violations.add(id + " " + cell + ": executed " + executions + " times, " + seen);
        }
    }
}
