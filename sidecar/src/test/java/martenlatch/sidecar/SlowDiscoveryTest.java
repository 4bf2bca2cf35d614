package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import martenlatch.discovery.EndpointListGate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a discovery that writes its responses slowly, stops in the middle of one, or keeps polls in a queue. */
@Timeout(60)
class SlowDiscoveryTest {

    private static final int DEADLINE_MS = 8000;

    /** A change counts as notified this long after discovery has it. */
    private static final int MAX_LIST_AGE_MS = 6000;

    /** The grace of a drain in the settings of the fixture. */
    private static final int DRAIN_GRACE_MS = 500;

    private static final int PIECES = 10;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against the rest of a truncated response being waited for as long as the wait of a watch. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{\"version\":2,",
                "slow half",
                "trickle"
            })
    void truncatedResponseTimesOutEarly(String truncated) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint newDiscovery = new FakeEndpoint((wire, request) -> wire.awaitClose())) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            newDiscovery.script = (wire, request) -> {
                switch (newDiscovery.requests.size()) {
                    case 1 ->
                        FakeEndpoint.answer(
                                wire,
                                200,
                                "",
                                SidecarFixture.list(
                                        1,
                                        true,
                                        SidecarFixture.line(
                                                0, fixture.endpoints.get(0).address(), "in_service", 0)));
                    case 2 -> sendTruncated(wire, truncated);
                    case 3 ->
                        FakeEndpoint.answer(
                                wire,
                                200,
                                "",
                                SidecarFixture.list(2, true, SidecarFixture.line(1, other.address(), "in_service", 0)));
                    default -> wire.awaitClose();
                }
            };
            Files.writeString(
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
            long startNanos = System.nanoTime();
            fixture.sidecar.reload();
            SidecarFixture.await("the watch is restarted and continues", () -> newDiscovery.requests.size() == 4);
            assertTrue(
                    newDiscovery.requests.get(1).startLine().contains("wait=20000"),
                    "the wait of a watch is much longer");
            assertTrue(SidecarFixture.elapsedMs(startNanos) < 10_000, "the truncated response times out early");
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
            assertTrue(fixture.logged().contains("in the middle of a response"), fixture.logged());
        }
    }

    /**
     * Guards against a response that is cut although its bytes keep arriving. Each poll was cut 1 s after the first
     * bytes of its response, so a discovery that takes longer to write one was never heard out, and a draining endpoint
     * was sent requests for as long as that lasted (review/3). A change is notified 6 s after discovery has it.
     */
    @ParameterizedTest
    @CsvSource({"600, false", "1500, false", "1500, true", "3000, false", "5000, false", "5000, true"})
    void responseInPiecesIsAppliedWithinMaxListAge(int spreadMs, boolean full) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            CompletableFuture<Long> changeNanos = new CompletableFuture<>();
            CompletableFuture<Double> writtenInMs = new CompletableFuture<>();
            fixture.discovery.script = (wire, request) -> {
                if (request.startLine().contains("index=1&wait=1 ")) {
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(1, false));
                } else if (request.startLine().contains("index=1&")) {
                    long beginNanos = System.nanoTime();
                    changeNanos.complete(beginNanos);
                    String list = drainOfFirst(full, other);
                    sendInPieces(wire, list, list.length(), spreadMs);
                    writtenInMs.complete(SidecarFixture.elapsedMs(beginNanos));
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            long startNanos = changeNanos.get(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            SidecarFixture.await("the list is applied", () -> fixture.logged().contains("version 2, "));
            double appliedAfterMs = SidecarFixture.elapsedMs(startNanos);
            // A busy machine may delay the pieces; that delay is the test's own.
            double delayMs = writtenInMs.get(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS) - spreadMs;
            assertTrue(
                    appliedAfterMs - delayMs < MAX_LIST_AGE_MS + DRAIN_GRACE_MS,
                    "applied after " + appliedAfterMs + " ms, of which the pieces were delayed by " + delayMs + " ms");
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the drain is applied");
        }
    }

    /**
     * Guards against an agent that is never heard out because it takes longer than 100 ms to write a response. Its
     * changes count as notified at once, so the first response is waited for, beside polls that are sent anew.
     */
    @ParameterizedTest
    @ValueSource(ints = {400, 1500})
    void slowResponseOfAgentIsApplied(int spreadMs) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = "pushed";
            CountDownLatch firstSlowResponseWritten = new CountDownLatch(1);
            AtomicInteger polls = new AtomicInteger();
            fixture.discovery.script = (wire, request) -> {
                if (polls.incrementAndGet() == 1) {
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(1, false));
                } else if (request.startLine().contains("index=1&")) {
                    String list = drainOfFirst(false, other);
                    sendInPieces(wire, list, list.length(), spreadMs);
                    firstSlowResponseWritten.countDown();
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            SidecarFixture.await(firstSlowResponseWritten);
            SidecarFixture.await("the list is applied", () -> fixture.logged().contains("version 2, "));
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the drain is applied");
            assertTrue(fixture.logged().contains("discovery poll 2: version 2"), fixture.logged());
        }
    }

    /** Guards against a response that is cut at the previous address after a move, although its bytes keep arriving. */
    @Test
    void responseInPiecesIsAppliedAfterMove() throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint newDiscovery = new FakeEndpoint((wire, request) -> wire.awaitClose())) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            CountDownLatch responseBegun = new CountDownLatch(1);
            fixture.discovery.script = (wire, request) -> {
                if (request.startLine().contains("index=1&wait=1 ")) {
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(1, false));
                } else {
                    responseBegun.countDown();
                    String list = drainOfFirst(false, other);
                    sendInPieces(wire, list, list.length(), 3000);
                    wire.awaitClose();
                }
            };
            fixture.start();
            SidecarFixture.await(responseBegun);
            Files.writeString(
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
            fixture.sidecar.reload();
            SidecarFixture.await("the list is applied", () -> fixture.logged().contains("version 2, "));
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the drain is applied");
        }
    }

    /**
     * Guards against a poll that is ended while it waits in the queue of an overloaded discovery, and queues again.
     * Each was ended after 3 s, so a start at a discovery whose calls wait for 3.2 s served from the list of its
     * configuration after 7 s, and from then on (review/stand/StartAtSlowDiscovery).
     */
    @Test
    void pollInTheQueueOfDiscoveryIsHeardOut() throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.maxListWaitMs = EndpointListGate.DEFAULT_MAX_WAIT_MS;
            fixture.discovery.script = (wire, request) -> {
                Thread.sleep(3200);
                FakeEndpoint.answer(wire, 200, "", drainOfFirst(false, other));
            };
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the endpoint of the cached list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
        }
    }

    /**
     * Guards against a start that serves from an old list while the response with the current one is arriving. Until
     * then the wait goes on, for a bounded time.
     */
    @ParameterizedTest
    @CsvSource({"on_request, 2500", "pushed, 7000"})
    void startWaitsForAResponseThatIsArriving(String membership, int maxWaitMs) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = membership;
            fixture.maxListWaitMs = maxWaitMs;
            fixture.discovery.script = (wire, request) -> {
                String list = drainOfFirst(true, other);
                // Longer than the waits of 2.5 s and, beside an agent, 2 s, by less than the 2 s that are added to
                // them.
                sendInPieces(wire, list, list.length(), 2700);
            };
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the endpoint of the cached list has left");
            assertFalse(fixture.logged().contains("from the configuration's endpoint list"), fixture.logged());
        }
    }

    /** Guards against a sidecar that never serves because the response of discovery never ends. */
    @Test
    void startupWaitIsBoundedIfTheResponseNeverEnds() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.maxListWaitMs = 1500;
        fixture.discovery.script = (wire, request) -> sendTruncated(wire, "trickle");
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("endpoint list: TIMED_OUT"), fixture.logged());
    }

    /** Returns a list in which the first endpoint drains and another one is in service. */
    private String drainOfFirst(boolean full, FakeEndpoint other) {
        String drained = SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0);
        return SidecarFixture.list(2, full, drained, SidecarFixture.line(1, other.address(), "in_service", 0));
    }

    /** Sends a response in pieces of equal size, the first one at once and the last one after {@code spreadMs}. */
    private static void sendInPieces(RawHttpClient wire, String body, int contentLength, int spreadMs)
            throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + contentLength + "\r\n\r\n" + body;
        for (int i = 0; i < PIECES; i++) {
            wire.send(response.substring(response.length() * i / PIECES, response.length() * (i + 1) / PIECES));
            if (i < PIECES - 1) {
                Thread.sleep(spreadMs / (PIECES - 1));
            }
        }
    }

    private static void sendTruncated(RawHttpClient wire, String truncated) throws Exception {
        if (truncated.equals("slow half")) {
            sendInPieces(wire, "{\"version\":2,", 300, 1500);
            wire.awaitClose();
        }
        if (!truncated.equals("trickle")) {
            wire.send(truncated).awaitClose();
        }
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n{");
        while (true) {
            wire.send(" ");
            Thread.sleep(50);
        }
    }
}
