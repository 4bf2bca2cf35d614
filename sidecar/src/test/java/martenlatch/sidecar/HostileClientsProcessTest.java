package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs a sidecar process with the deployed JVM options beside hundreds of clients that misuse it: other clients are
 * served, memory stays below the limit, and the process ends by a signal only.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HostileClientsProcessTest {

    private static final int MIB = 1024 * 1024;
    private static final int HOSTILE_CLIENTS = 440;
    private static final int HOSTILE_MS = 8000;
    private static final int REQUESTS_PER_CONNECTION = 500;
    /** A calm request is answered within its deadline. */
    private static final double MAX_CALM_MS = 3000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private SidecarFixture fixture(int memoryMb) throws IOException {
        FakeEndpoint[] endpoints = new FakeEndpoint[4];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = FakeEndpoint.serving();
        }
        fixture = new SidecarFixture(endpoints);
        fixture.memoryMb = memoryMb;
        fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        return fixture;
    }

    /** A client that uses one connection in a hostile way until it is closed. */
    private interface HostileClient {
        void use(RawHttpClient connection) throws Exception;
    }

    /** Starts clients that open a new connection whenever their connection ends, until the time is up. */
    private static List<Thread> startHostile(SidecarProcess process, int count, HostileClient hostile) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOSTILE_MS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(null, () -> repeat(process, endNanos, hostile), "hostile", 128 * 1024);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        return threads;
    }

    private static void repeat(SidecarProcess process, long endNanos, HostileClient hostile) {
        while (System.nanoTime() < endNanos && process.isAlive()) {
            useOnce(process, hostile);
        }
    }

    private static void useOnce(SidecarProcess process, HostileClient hostile) {
        try (RawHttpClient connection = RawHttpClient.connect(process.address())) {
            hostile.use(connection);
        } catch (Exception e) {
            // The sidecar has closed the connection, as it may.
            return;
        }
    }

    private static void assertCalmClientsServed(CalmClients calm, SidecarProcess process, int memoryMb)
            throws IOException {
        assertTrue(process.isAlive(), process.log());
        assertEquals(List.of(), calm.failures(), process.log());
        assertTrue(calm.served() > 0);
        long peakBytes = process.peakMemoryBytes();
        assertTrue(peakBytes < (long) memoryMb * MIB, peakBytes + " bytes of memory at the peak");
        assertTrue(!process.log().contains("OutOfMemory"), process.log());
    }

    private static void assertEndsBySignalOnly(SidecarProcess process) throws InterruptedException {
        process.terminate();
        assertEquals(0, process.awaitExit(), process.log());
        assertTrue(process.log().contains("draining"), process.log());
    }

    /** Guards against heads of thousands of short fields, which take a hundred times their size on the heap. */
    @ParameterizedTest
    @CsvSource({"144, a:", "192, ab: c"})
    void headsOfManyShortFieldsLeaveOtherClientsServed(int memoryMb, String field) throws Exception {
        String fields = (field + "\r\n").repeat(200);
        try (SidecarProcess process = SidecarProcess.start(fixture(memoryMb))) {
            CalmClients calm = new CalmClients(process.address());
            List<Thread> hostile = startHostile(process, HOSTILE_CLIENTS, connection -> {
                connection.send("GET /api HTTP/1.1\r\n");
                for (int i = 0; i < 15; i++) {
                    connection.send(fields);
                    Thread.sleep(50);
                }
                connection.awaitClose();
            });
            for (Thread thread : hostile) {
                thread.join();
            }
            calm.close();
            assertCalmClientsServed(calm, process, memoryMb);
            assertEndsBySignalOnly(process);
        }
    }

    /** What a client at full speed sends, again and again. */
    private static String floodOf(String kind, long number) {
        String head = " /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood" + number + "\r\nX-Deadline-Ms: 2000\r\n"
                + "X-Tenant: t" + number + "\r\nCookie: key=" + number + "\r\n";
        return switch (kind) {
            case "sound" -> "GET" + head + "X-Class: read\r\n\r\n";
            case "orders" -> "POST" + head + "X-Class: order\r\nContent-Length: 2\r\n\r\nhi";
            case "keys" ->
                "POST" + head + "X-Class: move\r\nIdempotency-Key: k" + number + "\r\nContent-Length: 0\r\n\r\n";
            case "unsound" -> "GET" + head + "X-Class: unknown" + number + "\r\n\r\n";
            default -> "POST" + head + "X-Class: order\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
        };
    }

    /** Guards against one client that takes the time or the memory of all others, also under ever new names. */
    @ParameterizedTest
    @CsvSource({"sound", "orders", "keys", "unsound", "bad bodies"})
    void clientAtFullSpeedLeavesOtherClientsServed(String kind) throws Exception {
        int memoryMb = 144;
        try (SidecarProcess process = SidecarProcess.start(fixture(memoryMb))) {
            CalmClients calm = new CalmClients(process.address());
            AtomicLong number = new AtomicLong();
            List<Thread> flood = startHostile(process, 2, connection -> {
                for (int i = 0; i < REQUESTS_PER_CONNECTION; i++) {
                    connection.send(floodOf(kind, number.incrementAndGet()));
                    connection.read();
                }
            });
            for (Thread thread : flood) {
                thread.join();
            }
            calm.close();
            System.out.println("flood of " + kind + ": " + number + " requests, slowest calm answer " + calm.slowestMs()
                    + " ms, " + process.peakMemoryBytes() / MIB + " MB");
            assertTrue(process.isAlive(), process.log());
            assertEquals(List.of(), calm.unanswered(), process.log());
            assertTrue(calm.slowestMs() < MAX_CALM_MS, "the slowest calm answer took " + calm.slowestMs() + " ms");
            assertTrue(process.peakMemoryBytes() < (long) memoryMb * MIB, "memory at the peak");
            assertEndsBySignalOnly(process);
        }
    }

    /** Guards against an event loop that ends by an error and lets the process exit as if it had been told to. */
    @Test
    void processThatRunsOutOfMemoryNeverExitsCleanly() throws Exception {
        try (SidecarProcess process = SidecarProcess.start(fixture(144), "-Xmx14m", "-Xmn4m")) {
            CountDownLatch end = new CountDownLatch(1);
            List<Thread> hostile = startHostile(process, HOSTILE_CLIENTS, connection -> {
                connection.send("POST /api HTTP/1.1\r\nX-Request-Id: " + System.nanoTime()
                        + "\r\nX-Class: order\r\nX-Deadline-Ms: 3000\r\nContent-Length: 60000\r\n\r\n");
                connection.send("x".repeat(59_000));
                end.await(2, TimeUnit.SECONDS);
            });
            for (Thread thread : hostile) {
                thread.join();
            }
            if (process.isAlive()) {
                assertEndsBySignalOnly(process);
            } else {
                assertNotEquals(0, process.awaitExit(), process.log());
            }
        }
    }
}
