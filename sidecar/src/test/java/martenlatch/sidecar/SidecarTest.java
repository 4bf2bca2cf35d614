package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the whole sidecar on loopback sockets. */
@Timeout(60)
class SidecarTest {

    private static final int DEADLINE_MS = 8000;

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
        return FakeEndpoint.answering(200, "Content-Type: text/x\r\n", "served");
    }

    // ---- requests and responses ----

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        start(servingEndpoint());
        RawHttpClient.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(200, response.status());
        assertEquals("served", response.body());
        assertEquals("text/x", response.headers().get("content-type"));
        RawHttpClient.Message forwarded = fixture.endpoints.get(0).requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", forwarded.startLine());
        assertEquals("hello", forwarded.body());
        assertEquals("r0", forwarded.headers().get("x-request-id"));
        assertEquals("k1", forwarded.headers().get("idempotency-key"));
        int deadline = Integer.parseInt(forwarded.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= DEADLINE_MS, "remaining time: " + deadline);
    }

    @Test
    void connectionsAreReusedOnBothSides() throws Exception {
        start(servingEndpoint());
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        200,
                        client.send(fixture.request("read", DEADLINE_MS)).read().status());
                SidecarFixture.awaitReuseDelay();
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /** Guards against reordered responses: a client that pipelines requests matches responses by their order. */
    @Test
    void responsesKeepTheOrderOfRequests() throws Exception {
        CountDownLatch secondArrived = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                secondArrived.await();
            } else {
                secondArrived.countDown();
            }
            FakeEndpoint.answer(connection, 200, "", request.headers().get("x-request-id"));
        }));
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertEquals("r1", client.read().body());
        }
    }

    // ---- retries and failed attempts ----

    /** Guards against attempts that share state: each carries the complete request and its own remaining time. */
    @Test
    void eachAttemptCarriesTheSameRequestAndItsOwnTimeout() throws Exception {
        FakeEndpoint.Script rejects = (connection, request) -> {
            Thread.sleep(20);
            FakeEndpoint.answer(connection, 503, "X-Not-Run: 1\r\n", "full");
        };
        start(new FakeEndpoint(rejects), new FakeEndpoint(rejects), new FakeEndpoint(rejects));
        try (RawHttpClient client = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Host: app.svc",
                            "Host: app.svc\r\nCookie: a=1\r\nTE: gzip\r\nX-Twice: one\r\nX-Twice: two");
            assertEquals(503, client.send(request).read().status());
        }
        assertEquals(3, fixture.attempts());
        List<Map<String, String>> headersByAttempt = new ArrayList<>();
        List<Integer> timeoutsMs = new ArrayList<>();
        for (FakeEndpoint endpoint : fixture.endpoints) {
            RawHttpClient.Message attempt = endpoint.requests.get(0);
            assertEquals("hello", attempt.body());
            Map<String, String> headers = new HashMap<>(attempt.headers());
            timeoutsMs.add(Integer.parseInt(headers.remove("x-deadline-ms")));
            headersByAttempt.add(headers);
        }
        assertEquals(headersByAttempt.get(0), headersByAttempt.get(1));
        assertEquals(headersByAttempt.get(0), headersByAttempt.get(2));
        assertEquals("a=1", headersByAttempt.get(0).get("cookie"));
        assertFalse(headersByAttempt.get(0).containsKey("te"), "TE applies to the client's connection only");
        Collections.sort(timeoutsMs);
        assertTrue(
                timeoutsMs.get(0) <= timeoutsMs.get(1) - 15 && timeoutsMs.get(1) <= timeoutsMs.get(2) - 15,
                timeoutsMs.toString());
    }

    /** Guards against effects that happen twice: an unsafe request that may have run is not retried. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "half", "unframed", "garbage", "503", "504", "500", "201"})
    void unsafeRequestThatMayHaveRunFailsAtOnce(String failureKind) throws Exception {
        FakeEndpoint.Script script = (connection, request) -> {
            switch (failureKind) {
                case "reset" -> connection.reset();
                case "half" -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    connection.close();
                }
                case "unframed" -> {
                    connection.send("HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all");
                    connection.close();
                }
                case "garbage" -> connection.send("what?\r\n\r\n");
                default -> FakeEndpoint.answer(connection, Integer.parseInt(failureKind), "", "mine");
            }
        };
        start(new FakeEndpoint(script), new FakeEndpoint(script));
        RawHttpClient.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(502, response.status());
        assertFalse(response.body().contains("mine"), "the response of a failed attempt is not forwarded");
        assertEquals(1, fixture.attempts());
    }

    /** Guards against giving up too early: an attempt that never ran may be retried elsewhere, even if it is unsafe. */
    @ParameterizedTest
    @CsvSource({"order,503", "order,504", "order,refused", "read,500", "read,reset"})
    void attemptThatIsSafeToRetryIsRetriedElsewhere(String requestClass, String failureKind) throws Exception {
        FakeEndpoint failing = new FakeEndpoint((connection, request) -> {
            if (failureKind.equals("reset")) {
                connection.reset();
            } else {
                FakeEndpoint.answer(connection, Integer.parseInt(failureKind), "X-Not-Run: 1\r\n", "");
            }
        });
        FakeEndpoint other = new FakeEndpoint(failing.script);
        start(failing, other);
        FakeEndpoint.Script serves = (connection, request) -> FakeEndpoint.answer(connection, 200, "", "served");
        // Whichever endpoint is tried first fails, and the other one serves.
        if (failureKind.equals("refused")) {
            failing.close();
            other.script = serves;
        } else {
            FakeEndpoint.Script firstScript = failing.script;
            FakeEndpoint.Script once = (connection, request) -> {
                failing.script = serves;
                other.script = serves;
                firstScript.on(connection, request);
            };
            failing.script = once;
            other.script = once;
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, fixture.sendRequest(requestClass, DEADLINE_MS).status());
        }
    }

    /** Guards against attempts that occupy a connection forever: on a timeout the connection is closed. */
    @Test
    void timedOutAttemptClosesItsConnection() throws Exception {
        FakeEndpoint unresponsive = new FakeEndpoint((connection, request) -> connection.awaitClose());
        start(unresponsive);
        RawHttpClient.Message response = fixture.sendRequest("order", 300);
        assertEquals(502, response.status(), "the request may have run");
        SidecarFixture.await("the connection is closed", () -> unresponsive.open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    @Test
    void clientDisconnectCancelsItsAttempts() throws Exception {
        FakeEndpoint unresponsive = new FakeEndpoint((connection, request) -> connection.awaitClose());
        start(unresponsive);
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the attempt is at the endpoint", () -> unresponsive.requests.size() == 1);
        }
        SidecarFixture.await("the attempt is cancelled", () -> unresponsive.open.get() == 0);
    }

    /** Guards against clients that retry immediately: a rejection is sent at once, with the time to wait. */
    @Test
    void rejectionIsImmediateAndCarriesRetryAfter() throws Exception {
        start();
        long startedNanos = System.nanoTime();
        RawHttpClient.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(503, response.status());
        assertEquals(0.5, Double.parseDouble(response.headers().get("retry-after")));
        assertTrue((System.nanoTime() - startedNanos) / 1e6 < DEADLINE_MS / 2.0, "long before the deadline");
    }

    /**
     * Guards against errors caused by reentrant events: with all connections busy, an attempt ends before send()
     * returns. Also guards against opening more sockets than configured.
     */
    @Test
    void attemptsBeyondTheConnectionLimitAreRejected() throws Exception {
        FakeEndpoint[] unresponsive = new FakeEndpoint[4];
        for (int i = 0; i < unresponsive.length; i++) {
            unresponsive[i] = new FakeEndpoint((connection, request) -> connection.awaitClose());
        }
        fixture = new SidecarFixture(unresponsive);
        fixture.sockets = 1;
        fixture.start();
        try (RawHttpClient pipelining = fixture.client()) {
            for (int i = 0; i < 8; i++) {
                pipelining.send(fixture.request("order", DEADLINE_MS));
            }
            SidecarFixture.await("all connections are busy", () -> fixture.attempts() == 8);
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(8, fixture.attempts());
            assertTrue(fixture.logged().contains("all 8 connections to endpoints are busy"), fixture.logged());
            assertFalse(fixture.logged().contains("module failed"), fixture.logged());
        }
    }

    /** Guards against running out of descriptors: connections beyond the limit are rejected in an orderly way. */
    @Test
    void clientsBeyondTheConnectionLimitAreRejected() throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((connection, request) -> connection.awaitClose()));
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
        }
        SidecarFixture.await("four requests are at the endpoint", () -> fixture.attempts() == 4);
        // Idle connections are closed to make room for new ones; busy ones stay open.
        for (int i = 0; i < 12; i++) {
            clients.add(fixture.client());
        }
        clients.get(4).awaitClose();
        for (int i = 12; i < 16; i++) {
            clients.get(i).send("POST /api HTTP/1.1\r\n");
        }
        clients.add(fixture.client());
        for (RawHttpClient client : clients) {
            client.close();
        }
        SidecarFixture.await(
                "the connections to the endpoint are closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        fixture.endpoints.get(0).script = (connection, request) -> FakeEndpoint.answer(connection, 200, "", "served");
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    // ---- invalid requests ----

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Class: read|X-Class: novel|400",
                "X-Class: read|Y: z|400",
                "X-Request-Id: r0|Y: z|400",
                "X-Deadline-Ms: 8000|X-Deadline-Ms: soon|400",
                "X-Deadline-Ms: 8000|Y: z|400",
                "/api?q=1|/other|404",
                "GET /api|PUT /api|405",
                "HTTP/1.1|HTTP|400",
                "Host: app.svc|Content-Length: 33554433|413"
            })
    void invalidRequestGetsAnErrorResponse(String part, String replacement, int status) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            release.await();
            FakeEndpoint.answer(connection, 200, "", "served");
        }));
        try (RawHttpClient otherClient = fixture.client();
                RawHttpClient client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            otherClient.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another request is at the endpoint", () -> fixture.attempts() == 1);
            assertTrue(request.contains(part), part);
            assertEquals(
                    status,
                    client.send(request.replace(part, replacement)).read().status());
            release.countDown();
            assertEquals(200, otherClient.read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    @Test
    void requestIdInFlightIsRejectedAsDuplicate() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            release.await();
            FakeEndpoint.answer(connection, 200, "", "served");
        }));
        try (RawHttpClient firstClient = fixture.client();
                RawHttpClient secondClient = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            firstClient.send(request);
            SidecarFixture.await("the request is at the endpoint", () -> fixture.attempts() == 1);
            assertEquals(409, secondClient.send(request).read().status());
            release.countDown();
            assertEquals(200, firstClient.read().status());
        }
    }

    // ---- connections to endpoints ----

    /** Guards against writing to a connection that the endpoint is closing, which would cause a reset. */
    @Test
    void idleConnectionsAreClosedBeforeTheEndpointClosesThem() throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.idleCloseMs = 400;
        fixture.start();
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
        SidecarFixture.await(
                "the idle connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    // ---- discovery ----

    /** Makes discovery respond to polls with the entries of the returned queue, one after another. */
    private LinkedBlockingQueue<String> scriptDiscovery() {
        LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();
        fixture.discovery.script = (connection, request) -> {
            String response = responses.take();
            if (response.equals("reset")) {
                connection.reset();
            } else {
                FakeEndpoint.answer(connection, response.isEmpty() ? 503 : 200, "", response);
            }
        };
        return responses;
    }

    @Test
    void watchContinuesFromTheVersionOfTheLastResponse() throws Exception {
        FakeEndpoint before = servingEndpoint();
        FakeEndpoint after = servingEndpoint();
        fixture = new SidecarFixture(before);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        responses.add(SidecarFixture.list(
                7,
                false,
                SidecarFixture.line(0, before.address(), "terminating", 0),
                SidecarFixture.line(1, after.address(), "in_service", 0)));
        SidecarFixture.await("the next poll is sent", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                List.of(
                        "GET /registry/instances?index=1&wait=1 HTTP/1.1",
                        "GET /registry/instances?index=7&wait=4000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(RawHttpClient.Message::startLine)
                        .toList());
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(0, before.requests.size(), "the endpoint drains");
        assertEquals(1, after.requests.size());
        after.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "reset", "{\"version\":", "{\"version\":1}"})
    void failedPollIsRetried(String failure) throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        responses.add(failure);
        responses.add(failure);
        SidecarFixture.await("the poll is repeated", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against reusing connections to a terminated process, on which a request would be reset. */
    @ParameterizedTest
    @CsvSource({"true,0", "false,1000"})
    void endpointThatMovesOrRestartsGetsNewConnections(boolean moves, long startedMs) throws Exception {
        FakeEndpoint old = servingEndpoint();
        fixture = new SidecarFixture(old);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        FakeEndpoint current = moves ? servingEndpoint() : old;
        responses.add(
                SidecarFixture.list(2, false, SidecarFixture.line(0, current.address(), "in_service", startedMs)));
        SidecarFixture.await("the old connection is closed", () -> old.open.get() == 0);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(moves ? 1 : 2, old.connections.get());
        current.close();
    }

    // ---- start-up and shutdown ----

    @Test
    void sidecarIsReadyOnlyWithAnEndpoint() throws Exception {
        start();
        String readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        try (RawHttpClient client = fixture.client()) {
            assertEquals(503, client.send(readinessRequest).read().status());
        }
        stop();
        start(servingEndpoint());
        SidecarFixture.await("the sidecar is ready after its warm-up", () -> {
            try (RawHttpClient client = fixture.client()) {
                return client.send(readinessRequest).read().status() == 200;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against requests lost in a planned restart: those in flight and those that still arrive are served. */
    @Test
    void drainAnswersRequestsInFlightAndNewOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                release.await();
            }
            FakeEndpoint.answer(connection, 200, "", "served");
        }));
        RawHttpClient inFlight = fixture.client().send(fixture.request("order", DEADLINE_MS));
        RawHttpClient idle = fixture.client();
        RawHttpClient keptAlive = fixture.client();
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
        assertEquals(
                200,
                keptAlive.send(fixture.request("order", DEADLINE_MS)).read().status());
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        int servedCount = 0;
        try {
            while (true) {
                assertEquals(
                        200,
                        keptAlive
                                .send(fixture.request("order", DEADLINE_MS))
                                .read()
                                .status());
                servedCount++;
            }
        } catch (IOException e) {
            assertTrue(servedCount > 1, "an open connection is served for a while");
        }
        idle.awaitClose();
        assertTrue(drain.isAlive(), "the drain waits for the request in flight");
        release.countDown();
        RawHttpClient.Message response = inFlight.read();
        assertEquals(200, response.status());
        assertEquals("close", response.headers().get("connection"));
        drain.join();
        assertThrows(IOException.class, () -> fixture.client());
    }

    /**
     * Guards against requests lost in a planned restart: a client with a deadline after the end of the process gets
     * its response before the process ends.
     */
    @Test
    void drainAnswersRequestsThatNoEndpointAnswers() throws Exception {
        start(new FakeEndpoint((connection, request) -> connection.awaitClose()));
        RawHttpClient unsafe = fixture.client().send(fixture.request("order", DEADLINE_MS));
        RawHttpClient safe = fixture.client().send(fixture.request("read", DEADLINE_MS));
        SidecarFixture.await("both requests are at the endpoint", () -> fixture.attempts() == 2);
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        assertEquals(502, unsafe.read().status(), "the request may have run");
        assertEquals(503, safe.read().status(), "the client may retry the request elsewhere");
        unsafe.close();
        safe.close();
        drain.join();
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against a warm-up that reaches endpoints or discovery, which sees only the sidecar's own watch. */
    @Test
    void warmUpDoesNotReachEndpointsOrDiscovery() throws Exception {
        start(servingEndpoint());
        SidecarFixture.await("the warm-up has finished", () -> fixture.logged().contains("warm-up finished after"));
        SidecarFixture.await("the watch is open", () -> !fixture.discovery.requests.isEmpty());
        assertEquals(0, fixture.endpoints.get(0).connections.get());
        assertEquals(1, fixture.discovery.requests.size());
        assertTrue(
                fixture.discovery.requests.get(0).startLine().contains("?index=1&"),
                "the poll carries the version of the sidecar's own list");
    }

    /** Guards against malformed requests and resets that affect other clients. */
    @Test
    void malformedRequestsDoNotAffectOtherClients() throws Exception {
        start(servingEndpoint());
        for (int i = 0; i < 20; i++) {
            fixture.client().send("GET /api HT").reset();
            fixture.client().send("\0\0\0\r\n\r\n").reset();
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        try (RawHttpClient client = fixture.client()) {
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
            assertEquals(400, client.read().status());
            assertThrows(EOFException.class, client::read);
        }
    }
}
