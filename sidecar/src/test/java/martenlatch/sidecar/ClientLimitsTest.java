package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients that violate limits: each is rejected or disconnected in time, and other clients are unaffected. */
@Timeout(60)
class ClientLimitsTest {

    private static final int DEADLINE_MS = 8000;
    /** The time limit for an error or a close, plus slack for a busy machine. */
    private static final double MAX_ERROR_DELAY_MS = 3000 + 5000;

    /** A request that follows an invalid one and must not be forwarded. */
    private static final String SMUGGLED_REQUEST =
            "GET /api HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\nHost: a\r\n\r\n";

    private SidecarFixture fixture;

    private SidecarFixture start(FakeEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static FakeEndpoint servingEndpoint() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    private static void assertClosedWithoutMessage(RawHttpClient client) throws IOException {
        try {
            client.read();
        } catch (EOFException | SocketException e) {
            // Expected: no further message.
            return;
        }
        throw new AssertionError("expected the connection to close, but another message arrived");
    }

    // ---- time limits ----

    @Test
    void silentConnectionIsClosed() throws Exception {
        start(servingEndpoint());
        long startNanos = System.nanoTime();
        try (RawHttpClient client = fixture.client()) {
            client.awaitClose();
        }
        assertTrue((System.nanoTime() - startNanos) / 1e6 < MAX_ERROR_DELAY_MS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /api HT",
                "POST /api HTTP/1.1\r\nX-Request-Id: r0\r\n",
                "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhel",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"
            })
    void stalledRequestTimesOut(String partialRequest) throws Exception {
        start(servingEndpoint());
        long startNanos = System.nanoTime();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(408, client.send(partialRequest).read().status());
            assertClosedWithoutMessage(client);
        }
        assertTrue((System.nanoTime() - startNanos) / 1e6 < MAX_ERROR_DELAY_MS);
    }

    /**
     * Guards against a client that stops in the middle of a request whose beginning arrived together with an earlier
     * request: it holds an endpoint's slot, and is neither answered nor disconnected.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /api HT",
                "POST /api HTTP/1.1\r\nX-Request-Id: p1\r\n",
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: p1\r\nX-Class: order\r\nX-Deadline-Ms: 8000\r\n"
                        + "Content-Length: 10\r\n\r\nhel",
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: p1\r\nX-Class: order\r\nX-Deadline-Ms: 8000\r\n"
                        + "Content-Length: 3000000\r\n\r\nhel"
            })
    void stalledRequestBehindAnotherTimesOut(String partialRequest) throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            answerAllowed.await();
            FakeEndpoint.answer(connection, 200, "", "served");
        }));
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + partialRequest);
            fixture.awaitPending(1);
            // Longer than the time limit, so that it expires while an answer is due.
            Thread.sleep(3500);
            long startNanos = System.nanoTime();
            answerAllowed.countDown();
            assertEquals(200, client.read().status());
            assertEquals(408, client.read().status());
            assertTrue((System.nanoTime() - startNanos) / 1e6 < MAX_ERROR_DELAY_MS);
            assertClosedWithoutMessage(client);
        }
        fixture.awaitPending(0);
    }

    /** Guards against a time limit that is restarted by each byte. */
    @Test
    void slowlySentHeadTimesOut() throws Exception {
        start(servingEndpoint());
        long startNanos = System.nanoTime();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            client.send("POST /api HTTP/1.1\r\n");
            Thread trickle = new Thread(() -> {
                try {
                    while (true) {
                        client.send("X: y\r\n");
                        Thread.sleep(20);
                    }
                } catch (IOException | InterruptedException e) {
                    return;
                }
            });
            trickle.setDaemon(true);
            trickle.start();
            assertEquals(408, client.read().status());
        }
        assertTrue((System.nanoTime() - startNanos) / 1e6 < MAX_ERROR_DELAY_MS);
    }

    // ---- invalid input ----

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
                "Content-Length: 0, 0\r\n\r\n",
                "Content-Length: +0\r\n\r\n",
                "Content-Length: -4\r\n\r\n",
                "Content-Length: ten\r\n\r\n",
                "Content-Length : 5\r\n\r\n",
                "a line with no colon\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n\r\n"
            })
    void ambiguousOrMalformedFramingIsRejected(String framing) throws Exception {
        start(servingEndpoint());
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: open\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\n";
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    400, client.send(head + framing + SMUGGLED_REQUEST).read().status());
            assertClosedWithoutMessage(client);
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.attempts(), "only the valid request was forwarded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: twice", "X-Class: order", "X-Deadline-Ms: 9"})
    void repeatedHeaderIsRejected(String repeatedHeader) throws Exception {
        start(servingEndpoint());
        try (RawHttpClient client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS).replace("Host:", repeatedHeader + "\r\nHost:");
            assertEquals(400, client.send(request + SMUGGLED_REQUEST).read().status());
            assertClosedWithoutMessage(client);
        }
        assertEquals(0, fixture.attempts());
    }

    // ---- size limits ----

    /** The error is sent after the head alone, and is not lost while the client is still sending the body. */
    @Test
    void tooLargeBodyIsRejectedByItsHead() throws Exception {
        start(servingEndpoint());
        try (RawHttpClient client = fixture.client()) {
            client.send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n");
            client.send("x".repeat(100_000));
            assertEquals(413, client.read().status());
            assertClosedWithoutMessage(client);
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    @Test
    void tooLargeHeadIsRejected() throws Exception {
        start(servingEndpoint());
        try (RawHttpClient client = fixture.client()) {
            client.send("GET /api HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppp\r\n".repeat(2000));
            assertEquals(431, client.read().status());
            assertClosedWithoutMessage(client);
        }
    }

    // ---- limits on the number of requests and connections ----

    /** Guards against hundreds of requests in one read: only a few are accepted, and the responses keep their order. */
    @Test
    void excessivePipeliningClosesConnection() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            release.await();
            FakeEndpoint.answer(connection, 200, "", request.headers().get("x-request-id"));
        }));
        try (RawHttpClient client = fixture.client()) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                pipelined.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(pipelined.toString());
            SidecarFixture.await("the first request is at the endpoint", () -> fixture.attempts() > 0);
            // Once another client has its response, all input of the first read has been processed.
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status(), "the sidecar is at its limit");
            release.countDown();
            int sent = 0;
            for (int i = 0; i < 8; i++) {
                RawHttpClient.Message response = client.read();
                sent += i == sent && response.status() == 200 ? 1 : 0;
                assertEquals(i < sent ? 200 : 503, response.status());
                assertEquals(i < sent ? "r" + i : "refused\n", response.body());
            }
            assertTrue(sent > 0 && sent < 8, sent + " requests were forwarded");
            assertEquals(429, client.read().status());
            assertClosedWithoutMessage(client);
            assertEquals(sent, fixture.attempts());
        }
    }

    /** Guards against silent connections that use up the connection limit at the expense of active clients. */
    @Test
    void silentConnectionsAreEvictedFirst() throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> silentClients = new ArrayList<>();
        try (RawHttpClient activeClient = fixture.client()) {
            assertEquals(
                    200,
                    activeClient
                            .send(fixture.request("read", DEADLINE_MS))
                            .read()
                            .status());
            for (int i = 0; i < 40; i++) {
                silentClients.add(fixture.client());
            }
            silentClients.get(0).awaitClose();
            assertEquals(
                    200,
                    activeClient
                            .send(fixture.request("read", DEADLINE_MS))
                            .read()
                            .status());
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
        for (RawHttpClient client : silentClients) {
            client.close();
        }
    }

    /** Guards against a drain that waits for requests that are never completed. */
    @Test
    void drainClosesConnectionsWithPartialRequests() throws Exception {
        start(servingEndpoint());
        try (RawHttpClient partialClient = fixture.client().send("POST /api HTTP/1.1\r\n");
                RawHttpClient pipelinedPartialClient = fixture.client()) {
            pipelinedPartialClient.send(fixture.request("read", DEADLINE_MS) + "POST /api HTTP/1.1\r\n");
            assertNotEquals(0, pipelinedPartialClient.read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            partialClient.awaitClose();
            pipelinedPartialClient.awaitClose();
            drain.join();
        }
    }

    /** The deadline of a request is limited by its request class, even if the client allows more time. */
    @Test
    void deadlineIsCappedByTheRequestClass() throws Exception {
        start(servingEndpoint());
        assertEquals(200, fixture.sendRequest("order", 999_999_999).status());
        int forwardedMs = Integer.parseInt(
                fixture.endpoints.get(0).requests.get(0).headers().get("x-deadline-ms"));
        assertTrue(forwardedMs <= 9000, "deadline forwarded to the endpoint in ms: " + forwardedMs);
    }

    /**
     * Guards against a timer of an earlier request that closes the connection while a later request is in flight or
     * arrives in time.
     */
    @Test
    void timersOfEarlierRequestsDoNotCloseConnectionInUse() throws Exception {
        AtomicInteger responseDelayMs = new AtomicInteger();
        fixture = new SidecarFixture(new FakeEndpoint((connection, request) -> {
                    Thread.sleep(responseDelayMs.get());
                    FakeEndpoint.answer(connection, 200, "", "mine");
                }))
                .start();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            Thread.sleep(1500);
            responseDelayMs.set(2000);
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            Thread.sleep(1800);
            responseDelayMs.set(0);
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
        }
    }
}
