package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients that disconnect as an attempt starts, while they wait, or as their response arrives. */
@Timeout(60)
class ClientDisconnectRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** Time limit for detecting a disconnect, well below the deadline at which the request times out anyway. */
    private static final double MAX_DETECTION_MS = DEADLINE_MS / 2.0;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Starts a sidecar with one endpoint, whose connections the test accepts itself. */
    private ServerSocket startWithEndpointAt(ServerSocket listener, boolean cancel) throws IOException {
        fixture = SidecarFixture.startedBefore(listener, cancel);
        return listener;
    }

    private long attemptsOf(String requestId) {
        return fixture.endpoints.stream()
                .flatMap(endpoint -> endpoint.requests.stream())
                .filter(request -> requestId.equals(request.headers().get("x-request-id")))
                .count();
    }

    private void awaitNoPendingRequests() throws InterruptedException {
        SidecarFixture.await("no request is pending", () -> fixture.tableSizes().get(0) == 0);
    }

    /** Guards against forwarding a request that is read late, when the client has already closed its connection. */
    @ParameterizedTest
    @CsvSource({"true, false", "true, true", "false, false", "false, true"})
    void requestOfDisconnectedClientIsNotForwarded(boolean accepted, boolean reset) throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served")).start();
        // There is now an idle connection to the endpoint, on which an attempt would be written immediately.
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
        SidecarFixture.awaitReuseDelay();
        RawHttpClient[] client = new RawHttpClient[1];
        SidecarFixture.Action connect = () -> client[0] = fixture.client();
        if (accepted) {
            connect.run();
        }
        fixture.whileEventLoopBlocked(
                () -> {
                    if (!accepted) {
                        connect.run();
                    }
                    client[0].send(fixture.request("order", DEADLINE_MS));
                },
                () -> {
                    if (reset) {
                        client[0].reset();
                    } else {
                        client[0].close();
                    }
                });
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
        awaitNoPendingRequests();
        assertEquals(0, attemptsOf("r1"));
        assertEquals(1, attemptsOf("r2"));
    }

    /**
     * Guards against a retry that is written immediately, on an idle connection, although the client disconnects at the
     * same time as the previous attempt fails.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void retryOnIdleConnectionIsNotSentAfterDisconnect(boolean resetFirst, boolean cancellation) throws Exception {
        CountDownLatch bothArrived = new CountDownLatch(2);
        LinkedBlockingQueue<RawHttpClient> waitingAttempts = new LinkedBlockingQueue<>();
        FakeEndpoint.Script script = (connection, request) -> {
            if (request.headers().get("x-request-id").equals("r2")) {
                waitingAttempts.add(connection);
                connection.awaitClose();
                return;
            }
            bothArrived.countDown();
            bothArrived.await();
            FakeEndpoint.answer(connection, 200, "", "served");
        };
        fixture = new SidecarFixture(new FakeEndpoint(script), new FakeEndpoint(script));
        fixture.cancel = cancellation;
        fixture.start();
        try (RawHttpClient firstClient = fixture.client();
                RawHttpClient secondClient = fixture.client()) {
            firstClient.send(fixture.request("read", DEADLINE_MS));
            secondClient.send(fixture.request("read", DEADLINE_MS));
            assertEquals("served", firstClient.read().body());
            assertEquals("served", secondClient.read().body());
        }
        // There is now an idle connection to each endpoint.
        SidecarFixture.awaitReuseDelay();
        RawHttpClient client = fixture.client().send(fixture.request("read", DEADLINE_MS));
        RawHttpClient attempt = waitingAttempts.poll(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (resetFirst) {
            fixture.whileEventLoopBlocked(attempt::reset, client::close);
        } else {
            fixture.whileEventLoopBlocked(client::close, attempt::reset);
        }
        awaitNoPendingRequests();
        assertEquals("served", fixture.sendRequest("read", DEADLINE_MS).body());
        assertEquals(1, attemptsOf("r2"));
        assertEquals(List.of(), List.copyOf(waitingAttempts));
    }

    /** Guards against sending a request whose client disconnected while the connection to the endpoint was set up. */
    @ParameterizedTest
    @ValueSource(strings = {"order, cancel", "order", "read, cancel", "read"})
    void requestIsNotSentIfClientDisconnectsWhileConnecting(String variant) throws Exception {
        String kind = variant.split(",", 2)[0];
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint()) {
            fixture = SidecarFixture.withEndpointAt(late.address());
            fixture.cancel = variant.endsWith("cancel");
            fixture.connectTimeoutMs = 30_000;
            fixture.start();
            long startNanos = System.nanoTime();
            RawHttpClient disconnecting = fixture.client().send(fixture.request(kind, DEADLINE_MS));
            fixture.awaitPending(1);
            RawHttpClient connected = fixture.client().send(fixture.request(kind, DEADLINE_MS));
            fixture.awaitPending(2);
            disconnecting.close();
            fixture.awaitPending(1);
            assertTrue(
                    SidecarFixture.elapsedMs(startNanos) < MAX_DETECTION_MS, "cancelled before the request times out");
            late.startAccepting();
            assertEquals("late", connected.read().body());
            connected.close();
            assertEquals(
                    List.of("r1"),
                    late.requests.stream()
                            .map(request -> request.headers().get("x-request-id"))
                            .toList());
            // The endpoint is not penalized: it receives the next request immediately.
            assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
        }
    }

    /**
     * Guards against a disconnect that stays undetected behind unread bytes. The client disconnects with eight requests
     * in flight and the beginning of a ninth sent.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset", "fin behind more than is held", "fin behind a flood"})
    void disconnectOfPipeliningClientIsDetected(String variant) throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((connection, request) -> connection.awaitClose())).start();
        RawHttpClient client = fixture.client();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            pipelined.append(fixture.request("order", DEADLINE_MS));
        }
        client.send(pipelined.toString());
        SidecarFixture.await("some requests are at the endpoint", () -> fixture.attempts() > 0);
        // Once another client has its response, all earlier input has been processed.
        fixture.sendRequest("order", DEADLINE_MS);
        long startNanos = System.nanoTime();
        if (variant.endsWith("held")) {
            client.send("POST /api HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + "x".repeat(40_000));
        } else if (variant.endsWith("flood")) {
            client.send("no request at all\r\n\r\n" + "x".repeat(1_000_000));
        } else {
            client.send("POST /api HT");
        }
        if (variant.equals("reset")) {
            client.reset();
        } else {
            client.close();
        }
        fixture.awaitPending(0);
        assertTrue(
                SidecarFixture.elapsedMs(startNanos) < MAX_DETECTION_MS,
                "disconnect detected before the requests time out");
        SidecarFixture.await(
                "the attempts of the client are cancelled",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    /** Guards against leaked requests, memory and connections when many clients disconnect while sending bodies. */
    @Test
    void disconnectsDuringBodiesReleaseAllResources() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving(), FakeEndpoint.serving()).start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            // Some bodies are collected, others are streamed.
            int length = i % 2 == 0 ? 200_000 : 2_000_000;
            clients.add(fixture.client()
                    .send(fixture.request("order", DEADLINE_MS)
                            .replace(
                                    "Content-Length: 5\r\n\r\nhello",
                                    "Content-Length: " + length + "\r\n\r\n" + "x".repeat(100_000))));
        }
        SidecarFixture.await("bodies are being received", () -> fixture.bodyBytesHeld() > 0);
        for (int i = 0; i < clients.size(); i++) {
            if (i % 3 == 0) {
                clients.get(i).reset();
            } else {
                clients.get(i).close();
            }
        }
        fixture.awaitPending(0);
        SidecarFixture.await("the memory of all bodies is released", () -> fixture.bodyBytesHeld() == 0);
        for (FakeEndpoint endpoint : fixture.endpoints) {
            SidecarFixture.await("the connections of the endpoint are closed", () -> endpoint.open.get() == 0);
            endpoint.requests.forEach(request -> assertTrue(
                    request.body().length() < Integer.parseInt(request.headers().get("content-length")),
                    "no endpoint received a complete body"));
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /** A client that closes only its output counts as disconnected, as that looks the same as a full close. */
    @Test
    void halfCloseCountsAsDisconnect() throws Exception {
        FakeEndpoint hangingEndpoint = new FakeEndpoint((connection, request) -> connection.awaitClose());
        fixture = new SidecarFixture(hangingEndpoint).start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            client.socket.shutdownOutput();
            try {
                client.read();
                throw new AssertionError("a response was sent to a disconnected client");
            } catch (EOFException | SocketException e) {
                fixture.awaitPending(0);
            }
        }
        SidecarFixture.await("the attempt is cancelled", () -> hangingEndpoint.open.get() == 0);
    }

    /** Guards against a retry for a client that disconnects at the same time as its first attempt fails. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void retryIsNotSentIfClientDisconnectsAsAttemptFails(boolean failureFirst, boolean cancel) throws Exception {
        try (ServerSocket listener = startWithEndpointAt(DelayedAcceptEndpoint.listenWithShortBacklog(), cancel)) {
            RawHttpClient client = fixture.client().send(fixture.request("read", DEADLINE_MS));
            RawHttpClient first = new RawHttpClient(listener.accept());
            first.read();
            try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint(listener)) {
                if (failureFirst) {
                    fixture.whileEventLoopBlocked(first::reset, client::close);
                } else {
                    fixture.whileEventLoopBlocked(client::close, first::reset);
                }
                fixture.awaitPending(0, MAX_DETECTION_MS);
                late.startAccepting();
                assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
                assertEquals(
                        List.of("r1"),
                        late.requests.stream()
                                .map(request -> request.headers().get("x-request-id"))
                                .toList());
            }
        }
    }

    /** Guards against delivering the response to a disconnected client on a reused connection to the next client. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void responseToDisconnectedClientIsNotDeliveredToNextRequest(boolean responseFirst, boolean cancel)
            throws Exception {
        try (ServerSocket listener = startWithEndpointAt(DelayedAcceptEndpoint.listenWithShortBacklog(), cancel)) {
            RawHttpClient client = fixture.client().send(fixture.request("order", DEADLINE_MS));
            RawHttpClient endpoint = new RawHttpClient(listener.accept());
            endpoint.read();
            SidecarFixture.Action respond = () -> FakeEndpoint.answer(endpoint, 200, "", "first");
            if (responseFirst) {
                fixture.whileEventLoopBlocked(respond, client::close);
            } else {
                fixture.whileEventLoopBlocked(client::close, respond);
            }
            fixture.awaitPending(0, MAX_DETECTION_MS);
            SidecarFixture.awaitReuseDelay();
            Thread endpointThread = new Thread(() -> serveNext(listener, endpoint));
            endpointThread.start();
            assertEquals("second", fixture.sendRequest("order", DEADLINE_MS).body());
            endpointThread.join();
        }
    }

    /** Serves the next request on the existing endpoint connection, or on a new one if that was closed. */
    private static void serveNext(ServerSocket listener, RawHttpClient endpoint) {
        try {
            RawHttpClient next = endpoint;
            try {
                next.read();
            } catch (IOException e) {
                next = new RawHttpClient(listener.accept());
                next.read();
            }
            FakeEndpoint.answer(next, 200, "", "second");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
