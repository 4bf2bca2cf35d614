package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests responses whose bodies an endpoint writes slowly: one that has begun is passed on as long as bytes arrive. */
@Timeout(60)
class SlowResponseBodiesTest {

    private static final int DEADLINE_MS = 4000;
    private static final int LATENCY_OBJECTIVE_MS = 500;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void start(FakeEndpoint.Script script) throws IOException {
        fixture = new SidecarFixture(new FakeEndpoint(script));
        fixture.latencyObjectiveMs = LATENCY_OBJECTIVE_MS;
        fixture.start();
    }

    private static String framingHeader(String framing, int size) {
        return switch (framing) {
            case "length" -> "Content-Length: " + size + "\r\n\r\n";
            case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n";
            default -> "Connection: close\r\n\r\n";
        };
    }

    private static void writePart(RawHttpClient connection, String framing, byte[] body, int from, int to)
            throws IOException {
        OutputStream out = connection.socket.getOutputStream();
        boolean chunked = framing.equals("chunked");
        if (chunked) {
            out.write((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(body, from, to - from);
        if (chunked) {
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Writes a response in parts with a pause before each, and ends it as its framing requires. */
    private static void writeSlowly(RawHttpClient connection, String framing, byte[] body, int parts, int pauseMs)
            throws Exception {
        connection.send(LongBodies.OK + framingHeader(framing, body.length));
        for (int i = 0; i < parts; i++) {
            Thread.sleep(pauseMs);
            writePart(connection, framing, body, body.length * i / parts, body.length * (i + 1) / parts);
        }
        if (framing.equals("chunked")) {
            connection.send("0\r\n\r\n");
        } else if (framing.equals("close")) {
            connection.close();
        }
    }

    /** Guards against an attempt that times out while bytes of its response keep arriving. */
    @ParameterizedTest
    @CsvSource({
        "order, length, 120000, 24, 50",
        "order, chunked, 120000, 24, 50",
        "order, close, 120000, 24, 50",
        "read, chunked, 120000, 24, 50",
        "move, close, 120000, 24, 50",
        "order, length, 60000, 24, 50",
        "order, chunked, 300, 24, 50",
        "read, close, 1000, 6, 250",
        "read, chunked, 70000, 2, 1500",
        "order, close, 2000, 2, 1500"
    })
    void slowlyWrittenResponseArrivesComplete(String requestClass, String framing, int size, int parts, int pauseMs)
            throws Exception {
        byte[] body = LongBodies.bytes(size, size);
        start((connection, request) -> writeSlowly(connection, framing, body, parts, pauseMs));
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request(requestClass, DEADLINE_MS));
            assertArrayEquals(body, LongBodies.body(client));
        }
        assertEquals(1, fixture.attempts());
    }

    /** Guards against a slow response whose attempt keeps other requests from being admitted. */
    @ParameterizedTest
    @CsvSource({"length", "chunked", "close"})
    void slowResponsesDoNotCauseRejectionOfOtherRequests(String framing) throws Exception {
        byte[] body = LongBodies.bytes(1, 120_000);
        start((connection, request) -> {
            if (request.startLine().startsWith("POST")) {
                writeSlowly(connection, framing, body, 24, 50);
            } else {
                FakeEndpoint.answer(connection, 200, "", "small");
            }
        });
        for (int round = 0; round < 5; round++) {
            try (RawHttpClient slow = fixture.client()) {
                slow.send(fixture.request("order", DEADLINE_MS));
                for (int i = 0; i < 10; i++) {
                    assertEquals(
                            "small", fixture.sendRequest("read", DEADLINE_MS).body());
                    Thread.sleep(20);
                }
                assertArrayEquals(body, LongBodies.body(slow));
            }
        }
    }

    /** Guards against a client that has no final answer in its time while its response is arriving. */
    @ParameterizedTest
    @CsvSource({"30, 200", "50, 502"})
    void responseIsPassedOnIfItIsWholeInTimeAndElseFailsInTime(int pauseMs, int expectedStatus) throws Exception {
        byte[] body = LongBodies.bytes(2, 3000);
        int deadlineMs = 1000;
        start((connection, request) -> writeSlowly(connection, "chunked", body, 24, pauseMs));
        try (RawHttpClient client = fixture.client()) {
            long startedNanos = System.nanoTime();
            RawHttpClient.Message head =
                    client.send(fixture.request("order", deadlineMs)).readHead();
            byte[] received = client.readBody(head);
            assertTrue(SidecarFixture.elapsedMs(startedNanos) < deadlineMs + 50, "the final answer came too late");
            assertEquals(expectedStatus, head.status());
            if (expectedStatus == 200) {
                assertArrayEquals(body, received);
            }
        }
    }

    /** Writes a response that goes on by a few bytes each time and never ends. */
    private static void writeEndlessly(RawHttpClient connection, String framing, int firstBytes, int pauseMs)
            throws Exception {
        connection.send(LongBodies.OK + framingHeader(framing, 2 * firstBytes));
        byte[] part = new byte[firstBytes];
        writePart(connection, framing, part, 0, firstBytes);
        while (true) {
            Thread.sleep(pauseMs);
            writePart(connection, framing, part, 0, 1);
        }
    }

    /** Guards against a response that is passed on, and never ends, when the time of its request is up. */
    @ParameterizedTest
    @CsvSource({"order, length, 20", "order, chunked, 200", "read, close, 20", "read, length, 300"})
    void endlessResponseFailsInTimeAndRequestBehindItIsAnswered(String requestClass, String framing, int pauseMs)
            throws Exception {
        int deadlineMs = 1500;
        start((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                writeEndlessly(connection, framing, 1000, pauseMs);
            }
            FakeEndpoint.answer(connection, 200, "", "served");
        });
        try (RawHttpClient client = fixture.client()) {
            long startedNanos = System.nanoTime();
            client.send(fixture.request(requestClass, deadlineMs));
            client.send(fixture.request(requestClass, DEADLINE_MS));
            // A request that may be repeated may also be refused.
            assertEquals(requestClass.equals("read") ? 503 : 502, client.read().status());
            assertTrue(SidecarFixture.elapsedMs(startedNanos) < deadlineMs + 50, "the failure came too late");
            assertEquals("served", client.read().body());
        }
        fixture.awaitPending(0);
        SidecarFixture.await(
                "the endpoint's connection is closed",
                () -> fixture.endpoints.get(0).open.get() <= 1);
    }

    /** Guards against a response that has begun before the time of its request is up, and never ends after it. */
    @ParameterizedTest
    @CsvSource({"length, 20", "chunked, 200", "close, 20"})
    void endOfResponseThatCannotBeCompletedIsVisibleInTime(String framing, int pauseMs) throws Exception {
        int deadlineMs = 1500;
        start((connection, request) -> writeEndlessly(connection, framing, 70_000, pauseMs));
        try (RawHttpClient client = fixture.client()) {
            long startedNanos = System.nanoTime();
            client.send(fixture.request("order", deadlineMs).replace("POST /api?q=1 HTTP/1.1", requestLine(framing)));
            RawHttpClient.Message head = client.readHead();
            assertEquals(200, head.status());
            assertThrows(IOException.class, () -> client.readBody(head), "the client cannot tell");
            double elapsedMs = SidecarFixture.elapsedMs(startedNanos);
            assertTrue(elapsedMs < deadlineMs + 500, "the response ended too late");
            assertTrue(elapsedMs > deadlineMs - 100, "the response was cut before its time");
        }
    }

    /** Guards against a truncated response that looks whole, as the process ends while it is passed on. */
    @Test
    void endOfProcessResetsConnectionOfCloseDelimitedResponse() throws Exception {
        start((connection, request) -> writeEndlessly(connection, "close", 70_000, 20));
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS).replace("POST /api?q=1 HTTP/1.1", requestLine("close")));
            RawHttpClient.Message head = client.readHead();
            assertEquals(200, head.status());
            fixture.sidecar.stop();
            assertThrows(IOException.class, () -> client.readBody(head), "the client cannot tell");
        }
    }

    /** A body of unknown length is delimited by the end of the connection for a client of HTTP/1.0. */
    private static String requestLine(String framing) {
        return "POST /api?q=1 HTTP/1." + (framing.equals("close") ? 0 : 1);
    }

    /** Guards against cutting a response that has arrived in time and whose client reads it late. */
    @ParameterizedTest
    @CsvSource({"length, 64000", "chunked, 300000", "length, 5000000", "chunked, 5000000"})
    void responseOfLateReaderIsNotCut(String framing, int size) throws Exception {
        int deadlineMs = 1000;
        byte[] body = LongBodies.bytes(3, size);
        start((connection, request) -> {
            connection.send(LongBodies.OK + framingHeader(framing, size));
            writePart(connection, framing, body, 0, size);
            if (framing.equals("chunked")) {
                connection.send("0\r\n\r\n");
            }
        });
        try (RawHttpClient client = RawHttpClient.connect(fixture.sidecar.address(), 16 * 1024)) {
            client.send(fixture.request("order", deadlineMs));
            RawHttpClient.Message head = client.readHead();
            Thread.sleep(2L * deadlineMs);
            assertArrayEquals(body, client.readBody(head));
        }
    }

    /** A response that has begun and stops for good gets a failure at the deadline, as nothing was passed on. */
    @ParameterizedTest
    @CsvSource({"length", "chunked", "close"})
    void responseThatStopsForGoodFailsByTheDeadline(String framing) throws Exception {
        int deadlineMs = 1500;
        start((connection, request) -> {
            connection.send(LongBodies.OK + framingHeader(framing, 1000));
            writePart(connection, framing, new byte[1000], 0, 500);
            connection.awaitClose();
        });
        long startedNanos = System.nanoTime();
        assertEquals(502, fixture.sendRequest("order", deadlineMs).status());
        assertTrue(SidecarFixture.elapsedMs(startedNanos) < deadlineMs + 50, "the failure came too late");
        fixture.awaitPending(0);
    }
}
