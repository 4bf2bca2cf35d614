package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests long and slow request bodies, with endpoints that are slow, stall, reset the connection or respond early. */
@Timeout(120)
class LongRequestBodiesTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Returns the start of a POST request's head, followed by {@code framing}. */
    private String post(String framing) {
        return "POST /api?q=1 HTTP/1.1\r\nX-Request-Id: p" + System.nanoTime() + "\r\nX-Class: order\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nHost: app.svc\r\n" + framing;
    }

    @ParameterizedTest
    @CsvSource({
        "length,70000",
        "chunked,70000",
        "length,1000000",
        "chunked,1000000",
        "length,8000000",
        "chunked,8000000",
        "length,33554432"
    })
    void bodyOfAnySizeReachesEndpointUnchanged(String framing, int size) throws Exception {
        byte[] sent = LongBodies.bytes(size, size);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                for (int i = 0; i < 2; i++) {
                    LongBodies.write(
                            client,
                            post(
                                    framing.equals("length")
                                            ? "Content-Length: " + size + "\r\n"
                                            : "Transfer-Encoding: chunked\r\n"),
                            framing.equals("length") ? sent : LongBodies.chunked(sent));
                    assertEquals("eaten", client.read().body());
                    assertArrayEquals(sent, received.take());
                    SidecarFixture.awaitReuseDelay();
                }
            }
            assertEquals(1, endpoint.connections.get());
        }
    }

    /**
     * Guards against a client that waits for {@code 100 Continue} forever, and against one that sends a body of 8 MB
     * only to be rejected.
     */
    @Test
    void continueIsSentOnlyWhenEndpointIsReady() throws Exception {
        byte[] sent = LongBodies.bytes(5, 3 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
                assertEquals(100, client.readHead().status());
                client.socket.getOutputStream().write(sent);
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
        try (RawHttpClient client = fixture.client()) {
            client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
            assertEquals(503, client.read().status(), "the endpoint is gone, so the body is not requested");
        }
    }

    /** Guards against losing the Connection header of the client when the request is forwarded with a streamed body. */
    @Test
    void connectionCloseIsHonouredAfterStreamedBody() throws Exception {
        byte[] sent = LongBodies.bytes(9, 3 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                LongBodies.write(client, post("Connection: close\r\nContent-Length: " + sent.length + "\r\n"), sent);
                client.send(fixture.request("read", DEADLINE_MS));
                RawHttpClient.Message response = client.read();
                assertEquals("eaten", response.body());
                assertEquals("close", response.headers().get("connection"));
                client.awaitClose();
            }
            assertArrayEquals(sent, received.take());
            assertEquals(0, received.size(), "bytes after the last request are not a request");
        }
    }

    /** A client that is faster than the endpoint is paused, so that its body is not buffered in the sidecar. */
    @Test
    void fastClientIsPausedForSlowEndpoint() throws Exception {
        byte[] sent = LongBodies.bytes(6, 6 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 5)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                LongBodies.write(client, post("Content-Length: " + sent.length + "\r\n"), sent);
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
    }

    /**
     * The deadline counts from the last byte of the request, so a body that takes longer than the deadline to arrive is
     * still served.
     */
    @Test
    void deadlineStartsWithLastByteOfRequest() throws Exception {
        byte[] sent = LongBodies.bytes(7, 1_300_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: " + sent.length + "\r\n\r\n")
                        .replace("X-Deadline-Ms: " + DEADLINE_MS, "X-Deadline-Ms: 700"));
                for (int offset = 0; offset < sent.length; offset += 100_000) {
                    client.socket.getOutputStream().write(sent, offset, 100_000);
                    Thread.sleep(100);
                }
                assertEquals("eaten", client.read().body());
            }
        }
    }

    /** Guards against a body that never ends: the client gets one response, nothing is executed, no state remains. */
    @ParameterizedTest
    @ValueSource(ints = {40_000, 3_000_000})
    void stalledBodyGetsOneResponse(int length) throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: " + length + "\r\n\r\n") + "x".repeat(20_000));
                assertEquals(408, client.read().status());
                assertThrows(EOFException.class, client::read);
            }
            SidecarFixture.await("the connection to the endpoint is closed", () -> endpoint.openConnections.get() == 0);
            assertEquals(0, received.size());
            assertEquals(
                    List.of(0, 1),
                    fixture.sidecar
                            .loop()
                            .submit(() -> fixture.sidecar.tableSizes())
                            .get());
        }
    }

    /** A client with a slow head and a body at 64 KB/s is not treated as an attack. */
    @Test
    void slowClientIsServed() throws Exception {
        byte[] sent = LongBodies.bytes(8, 192 * 1024);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                String head = post("Content-Length: " + sent.length + "\r\n\r\n");
                for (int offset = 0; offset < head.length(); offset += 10) {
                    client.send(head.substring(offset, Math.min(head.length(), offset + 10)));
                    Thread.sleep(1800 * 10 / head.length());
                }
                for (int offset = 0; offset < sent.length; offset += 8192) {
                    client.socket.getOutputStream().write(sent, offset, 8192);
                    Thread.sleep(125);
                }
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
    }

    /**
     * Guards against executing a request twice: a request with an incomplete body was not executed, and the response
     * says so to the client.
     */
    @Test
    void resetDuringBodyMeansNotExecuted() throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.resetAfterBytes = 200_000;
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(1_000_000));
                assertEquals(503, client.read().status());
            }
            assertEquals(
                    1,
                    endpoint.connections.get(),
                    "part of the body was already forwarded, so there is no second attempt");
        }
    }

    /** Guards against an upload that never ends because the endpoint stops reading the body. */
    @Test
    void attemptFailsIfEndpointStopsReading() throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.stopAfterBytes = 100_000;
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                Thread writer = new Thread(() -> {
                    try {
                        LongBodies.write(client, post("Content-Length: 33554432\r\n"), new byte[32 * LongBodies.MB]);
                    } catch (IOException e) {
                        // The response arrives before the whole body is sent.
                        return;
                    }
                });
                writer.start();
                assertEquals(503, client.read().status());
                writer.join();
            }
        }
    }

    /** Tests endpoints that respond before the whole body has arrived. */
    @ParameterizedTest
    @CsvSource({"503,X-Not-Run: 1,503", "413,Y: z,413", "500,Y: z,502", "200,Y: z,502"})
    void earlyResponseIsInterpretedByItsStatus(int status, String header, int expectedStatus) throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.earlyResponse = "HTTP/1.1 " + status + " x\r\n" + header + "\r\nContent-Length: 0\r\n\r\n";
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(100_000));
                assertEquals(expectedStatus, client.read().status());
            }
            assertEquals(1, endpoint.connections.get());
            SidecarFixture.await("the connection is not kept", () -> endpoint.openConnections.get() == 0);
        }
    }

    /** A body over the size limit is rejected even if it is chunked, and no endpoint receives all of it. */
    @Test
    void bodyOverSizeLimitIsRejected() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Transfer-Encoding: chunked\r\n\r\n"));
                Thread writer = new Thread(() -> {
                    try {
                        OutputStream out = client.socket.getOutputStream();
                        byte[] chunk =
                                ("40000\r\n" + "x".repeat(0x40000) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
                        for (int i = 0; i < 140; i++) {
                            out.write(chunk);
                        }
                    } catch (IOException e) {
                        return;
                    }
                });
                writer.start();
                assertEquals(413, client.read().status());
                writer.join();
            }
            assertEquals(0, received.size());
            SidecarFixture.await("the connection to the endpoint is closed", () -> endpoint.openConnections.get() == 0);
        }
    }

    /** Guards against a leak in the body memory budget: a body must release its share when its request ends. */
    @Test
    void bodyMemoryIsReleasedAfterResponse() throws Exception {
        CountDownLatch responsesAllowed = new CountDownLatch(1);
        fixture = SidecarFixture.startedWith((connection, request) -> {
            responsesAllowed.await();
            FakeEndpoint.answer(connection, 200, "", "served");
        });
        byte[] body = LongBodies.bytes(10, 100_000);
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 9; i++) {
                LongBodies.write(client, post("Content-Length: " + body.length + "\r\n"), body);
            }
            SidecarFixture.await("some requests are in progress", () -> fixture.attempts() > 0);
            responsesAllowed.countDown();
            for (int i = 0; i < 9; i++) {
                client.read();
            }
        }
        SidecarFixture.await(
                "all body memory is released",
                () -> fixture.sidecar
                                .loop()
                                .submit(() -> fixture.sidecar.bodyBytesHeld())
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
    }

    /**
     * Guards against bodies that exhaust the memory together: those that exceed the memory budget are streamed.
     */
    @Test
    void manyConcurrentBodiesAreServed() throws Exception {
        byte[] sent = LongBodies.bytes(9, 900_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            List<RawHttpClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                RawHttpClient client = fixture.client();
                LongBodies.write(client, post("Content-Length: " + sent.length + "\r\n"), Arrays.copyOf(sent, 700_000));
                clients.add(client);
            }
            int served = 0;
            for (RawHttpClient client : clients) {
                client.socket.getOutputStream().write(sent, 700_000, 200_000);
                RawHttpClient.Message response = client.read();
                assertTrue(response.status() == 200 || response.status() == 503, response.startLine());
                served += response.status() == 200 ? 1 : 0;
                client.close();
            }
            assertTrue(served > 0);
            for (int i = 0; i < served; i++) {
                assertArrayEquals(sent, received.take());
            }
            assertFalse(fixture.logged().contains("Error"), fixture.logged());
        }
    }
}
