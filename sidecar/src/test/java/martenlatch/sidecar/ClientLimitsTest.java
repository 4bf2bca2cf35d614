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

/** Clients that behave badly: each gets an error or a close in time, and nobody else notices. */
@Timeout(60)
class ClientLimitsTest {

    private static final int DEADLINE_MS = 8000;
    /** What such a client is owed an end within, and what a busy machine may take beyond it. */
    private static final double OWED_MS = 3000 + 5000;

    private static final String HIDDEN =
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

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    private static void assertEnded(RawHttpClient client) throws IOException {
        try {
            client.read();
        } catch (EOFException | SocketException e) {
            // What is wanted: no further message.
            return;
        }
        throw new AssertionError("one more message came");
    }

    // ---- time ----

    @Test
    void aConnectionThatSaysNothingIsClosed() throws Exception {
        start(good());
        long began = System.nanoTime();
        try (RawHttpClient client = fixture.client()) {
            client.awaitClose();
        }
        assertTrue((System.nanoTime() - began) / 1e6 < OWED_MS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /api HT",
                "POST /api HTTP/1.1\r\nX-Request-Id: r0\r\n",
                "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhel",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"
            })
    void aRequestThatStallsIsAnErrorInTime(String part) throws Exception {
        start(good());
        long began = System.nanoTime();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(408, client.send(part).read().status());
            assertEnded(client);
        }
        assertTrue((System.nanoTime() - began) / 1e6 < OWED_MS);
    }

    /** Guards against a limit that each byte starts anew. */
    @Test
    void aRequestThatTricklesIsAnErrorInTime() throws Exception {
        start(good());
        long began = System.nanoTime();
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
        assertTrue((System.nanoTime() - began) / 1e6 < OWED_MS);
    }

    // ---- what can't be read ----

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
    void noRequestHidesInAnother(String framing) throws Exception {
        start(good());
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: open\r\nX-Class: read\r\n" + "X-Deadline-Ms: 8000\r\n";
        try (RawHttpClient client = fixture.client()) {
            assertEquals(400, client.send(head + framing + HIDDEN).read().status());
            assertEnded(client);
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.attempts(), "nothing of it was sent on");
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: twice", "X-Class: order", "X-Deadline-Ms: 9"})
    void whatIsToldTwiceIsNoRequest(String again) throws Exception {
        start(good());
        try (RawHttpClient client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS).replace("Host:", again + "\r\nHost:");
            assertEquals(400, client.send(request + HIDDEN).read().status());
            assertEnded(client);
        }
        assertEquals(0, fixture.attempts());
    }

    // ---- size ----

    /** The error comes by the head alone, and is not destroyed by what is still being sent. */
    @Test
    void aBodyThatIsTooLargeIsRefusedByItsHead() throws Exception {
        start(good());
        try (RawHttpClient client = fixture.client()) {
            client.send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n");
            client.send("x".repeat(100_000));
            assertEquals(413, client.read().status());
            assertEnded(client);
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    @Test
    void aHeadWithoutEndIsCutShort() throws Exception {
        start(good());
        try (RawHttpClient client = fixture.client()) {
            client.send("GET /api HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppp\r\n".repeat(2000));
            assertEquals(431, client.read().status());
            assertEnded(client);
        }
    }

    // ---- number ----

    /** Guards against hundreds of requests in one read: few are taken, and the answers keep their order. */
    @Test
    void requestsFarAheadOfTheirAnswersEndTheConnection() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", request.headers().get("x-request-id"));
        }));
        try (RawHttpClient client = fixture.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                all.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("the first is out", () -> fixture.attempts() > 0);
            // Once another client has its answer, all that came in the first read has been dealt with.
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status(), "the module has enough");
            release.countDown();
            int sent = 0;
            for (int i = 0; i < 8; i++) {
                RawHttpClient.Message answer = client.read();
                sent += i == sent && answer.status() == 200 ? 1 : 0;
                assertEquals(i < sent ? 200 : 503, answer.status());
                assertEquals(i < sent ? "r" + i : "refused\n", answer.body());
            }
            assertTrue(sent > 0 && sent < 8, sent + " were taken");
            assertEquals(429, client.read().status());
            assertEnded(client);
            assertEquals(sent, fixture.attempts());
        }
    }

    /** Guards against silent connections that take the room of those that ask. */
    @Test
    void connectionsThatNeverAskedMakeRoomFirst() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> silent = new ArrayList<>();
        try (RawHttpClient usual = fixture.client()) {
            assertEquals(
                    200, usual.send(fixture.request("read", DEADLINE_MS)).read().status());
            for (int i = 0; i < 40; i++) {
                silent.add(fixture.client());
            }
            silent.get(0).awaitClose();
            assertEquals(
                    200, usual.send(fixture.request("read", DEADLINE_MS)).read().status());
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
        for (RawHttpClient client : silent) {
            client.close();
        }
    }

    /** A drain does not wait for what never becomes a request. */
    @Test
    void aDrainLetsGoOfHalfARequest() throws Exception {
        start(good());
        try (RawHttpClient half = fixture.client().send("POST /api HTTP/1.1\r\n");
                RawHttpClient behind = fixture.client()) {
            behind.send(fixture.request("read", DEADLINE_MS) + "POST /api HTTP/1.1\r\n");
            assertNotEquals(0, behind.read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            half.awaitClose();
            behind.awaitClose();
            drain.join();
        }
    }

    /** The module's time for a request is bounded by its class, whatever the client says. */
    @Test
    void aDeadlineFarAwayIsBoundedByTheClass() throws Exception {
        start(good());
        assertEquals(200, fixture.sendRequest("order", 999_999_999).status());
        int told = Integer.parseInt(
                fixture.endpoints.get(0).requests.get(0).headers().get("x-deadline-ms"));
        assertTrue(told <= 9000, "what the endpoint is told: " + told);
    }

    /**
     * Guards against a clock that stands from before: neither a request that is waited for nor one that
     * comes in good time is cut off by it.
     */
    @Test
    void aConnectionInUseOutlivesTheClocksOfItsEarlierRequests() throws Exception {
        AtomicInteger holdMs = new AtomicInteger();
        fixture = new SidecarFixture(new FakeEndpoint((wire, request) -> {
                    Thread.sleep(holdMs.get());
                    FakeEndpoint.answer(wire, 200, "", "mine");
                }))
                .start();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            Thread.sleep(1500);
            holdMs.set(2000);
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
            Thread.sleep(1800);
            holdMs.set(0);
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
        }
    }
}
