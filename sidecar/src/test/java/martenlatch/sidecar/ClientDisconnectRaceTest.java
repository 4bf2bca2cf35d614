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

/** A client disconnects while an attempt for it would begin, while it waits, or with its response. */
@Timeout(60)
class ClientDisconnectRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** A disconnect has to be noticed long before this, at which the request would be over anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Starts a sidecar before one place, whose connections the test accepts itself. */
    private ServerSocket startBefore(ServerSocket place, boolean cancel) throws IOException {
        fixture = SidecarFixture.startedBefore(place, cancel);
        return place;
    }

    private long attemptsOf(String requestId) {
        return fixture.endpoints.stream()
                .flatMap(endpoint -> endpoint.requests.stream())
                .filter(request -> requestId.equals(request.headers().get("x-request-id")))
                .count();
    }

    private void assertNothingIsPending() throws InterruptedException {
        SidecarFixture.await("no request is pending", () -> fixture.tableSizes().get(0) == 0);
    }

    /** Guards against a request that is read late, with the end of its connection behind it, and forwarded. */
    @ParameterizedTest
    @CsvSource({"true, false", "true, true", "false, false", "false, true"})
    void aRequestWhoseClientHasLeftIsNotForwarded(boolean accepted, boolean reset) throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served")).start();
        // The endpoint has an idle connection now: an attempt would be written at once.
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
        assertNothingIsPending();
        assertEquals(0, attemptsOf("r1"));
        assertEquals(1, attemptsOf("r2"));
    }

    /**
     * Guards against a retry that is written at once, on an idle connection, although the end of its client has
     * come with the end of the attempt before.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aRetryOnAnIdleConnectionIsNotSent(boolean resetFirst, boolean cancellation) throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        LinkedBlockingQueue<RawHttpClient> held = new LinkedBlockingQueue<>();
        FakeEndpoint.Script script = (wire, request) -> {
            if (request.headers().get("x-request-id").equals("r2")) {
                held.add(wire);
                wire.awaitClose();
                return;
            }
            both.countDown();
            both.await();
            FakeEndpoint.answer(wire, 200, "", "served");
        };
        fixture = new SidecarFixture(new FakeEndpoint(script), new FakeEndpoint(script));
        fixture.cancel = cancellation;
        fixture.start();
        try (RawHttpClient one = fixture.client();
                RawHttpClient other = fixture.client()) {
            one.send(fixture.request("read", DEADLINE_MS));
            other.send(fixture.request("read", DEADLINE_MS));
            assertEquals("served", one.read().body());
            assertEquals("served", other.read().body());
        }
        // Both endpoints have an idle connection now.
        SidecarFixture.awaitReuseDelay();
        RawHttpClient client = fixture.client().send(fixture.request("read", DEADLINE_MS));
        RawHttpClient attempt = held.poll(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (resetFirst) {
            fixture.whileEventLoopBlocked(attempt::reset, client::close);
        } else {
            fixture.whileEventLoopBlocked(client::close, attempt::reset);
        }
        assertNothingIsPending();
        assertEquals("served", fixture.sendRequest("read", DEADLINE_MS).body());
        assertEquals(1, attemptsOf("r2"));
        assertEquals(List.of(), List.copyOf(held));
    }

    /** Guards against requests whose client has left while their connection came up, and which then run. */
    @ParameterizedTest
    @ValueSource(strings = {"order, cancel", "order", "read, cancel", "read"})
    void nothingIsSentForAClientThatLeftBeforeTheConnectionWasUp(String how) throws Exception {
        String kind = how.split(",", 2)[0];
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint()) {
            fixture = SidecarFixture.withEndpointAt(late.address());
            fixture.cancel = how.endsWith("cancel");
            fixture.connectTimeoutMs = 30_000;
            fixture.start();
            long began = System.nanoTime();
            RawHttpClient leaves = fixture.client().send(fixture.request(kind, DEADLINE_MS));
            fixture.awaitPending(1);
            RawHttpClient stays = fixture.client().send(fixture.request(kind, DEADLINE_MS));
            fixture.awaitPending(2);
            leaves.close();
            fixture.awaitPending(1);
            assertTrue(SidecarFixture.elapsedMs(began) < NOTICED_MS, "withdrawn, and not timed out");
            late.startAccepting();
            assertEquals("late", stays.read().body());
            stays.close();
            assertEquals(
                    List.of("r1"),
                    late.requests.stream()
                            .map(request -> request.headers().get("x-request-id"))
                            .toList());
            // Nothing is held against the endpoint: it is asked at once.
            assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
        }
    }

    /**
     * Guards against an end behind bytes that nobody reads: a client that has eight requests in hand and the
     * beginning of a ninth sent, and leaves.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset", "fin behind more than is held", "fin behind a flood"})
    void theEndOfAClientFarAheadOfItsAnswersIsSeen(String how) throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((wire, request) -> wire.awaitClose())).start();
        RawHttpClient client = fixture.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            all.append(fixture.request("order", DEADLINE_MS));
        }
        client.send(all.toString());
        SidecarFixture.await("some are at the endpoint", () -> fixture.attempts() > 0);
        // Once another client has its answer, all that came before has been dealt with.
        fixture.sendRequest("order", DEADLINE_MS);
        long began = System.nanoTime();
        if (how.endsWith("held")) {
            client.send("POST /api HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + "x".repeat(40_000));
        } else if (how.endsWith("flood")) {
            client.send("no request at all\r\n\r\n" + "x".repeat(1_000_000));
        } else {
            client.send("POST /api HT");
        }
        if (how.equals("reset")) {
            client.reset();
        } else {
            client.close();
        }
        fixture.awaitPending(0);
        assertTrue(SidecarFixture.elapsedMs(began) < NOTICED_MS, "noticed, and not timed out");
        SidecarFixture.await(
                "its attempts are called off",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    /** Guards against what a burst of clients leaves behind who go in the middle of their bodies. */
    @Test
    void clientsThatLeaveInTheMiddleOfTheirBodiesLeaveNothing() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving(), FakeEndpoint.serving()).start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            // Some bodies are collected, some passed on as they come.
            int length = i % 2 == 0 ? 200_000 : 2_000_000;
            clients.add(fixture.client()
                    .send(fixture.request("order", DEADLINE_MS)
                            .replace(
                                    "Content-Length: 5\r\n\r\nhello",
                                    "Content-Length: " + length + "\r\n\r\n" + "x".repeat(100_000))));
        }
        SidecarFixture.await("bodies are coming", () -> fixture.bodyBytesHeld() > 0);
        for (int i = 0; i < clients.size(); i++) {
            if (i % 3 == 0) {
                clients.get(i).reset();
            } else {
                clients.get(i).close();
            }
        }
        fixture.awaitPending(0);
        SidecarFixture.await("the room of all bodies is free", () -> fixture.bodyBytesHeld() == 0);
        for (FakeEndpoint endpoint : fixture.endpoints) {
            SidecarFixture.await("its connections are gone", () -> endpoint.open.get() == 0);
            endpoint.requests.forEach(request -> assertTrue(
                    request.body().length() < Integer.parseInt(request.headers().get("content-length")),
                    "none came whole"));
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /** A client that ends its side has left, as one that closes: nobody can tell them apart. */
    @Test
    void aClientThatEndsItsSideHasLeft() throws Exception {
        FakeEndpoint hung = new FakeEndpoint((wire, request) -> wire.awaitClose());
        fixture = new SidecarFixture(hung).start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            client.socket.shutdownOutput();
            try {
                client.read();
                throw new AssertionError("an answer for nobody");
            } catch (EOFException | SocketException e) {
                fixture.awaitPending(0);
            }
        }
        SidecarFixture.await("what was sent is called off", () -> hung.open.get() == 0);
    }

    /** Guards against a repeat for a client that left in the moment in which its first attempt failed. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aRepeatIsNotSentForAClientWhoseEndComesWithItsCause(boolean causeFirst, boolean cancel) throws Exception {
        try (ServerSocket place = startBefore(DelayedAcceptEndpoint.listenWithShortBacklog(), cancel)) {
            RawHttpClient client = fixture.client().send(fixture.request("read", DEADLINE_MS));
            RawHttpClient first = new RawHttpClient(place.accept());
            first.read();
            try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint(place)) {
                if (causeFirst) {
                    fixture.whileEventLoopBlocked(first::reset, client::close);
                } else {
                    fixture.whileEventLoopBlocked(client::close, first::reset);
                }
                fixture.awaitPending(0, NOTICED_MS);
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

    /** An answer that nobody waits for any more is nobody's, and its connection may go on. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void anAnswerAndTheEndOfItsClient(boolean answerFirst, boolean cancel) throws Exception {
        try (ServerSocket place = startBefore(DelayedAcceptEndpoint.listenWithShortBacklog(), cancel)) {
            RawHttpClient client = fixture.client().send(fixture.request("order", DEADLINE_MS));
            RawHttpClient endpoint = new RawHttpClient(place.accept());
            endpoint.read();
            SidecarFixture.Action answers = () -> FakeEndpoint.answer(endpoint, 200, "", "first");
            if (answerFirst) {
                fixture.whileEventLoopBlocked(answers, client::close);
            } else {
                fixture.whileEventLoopBlocked(client::close, answers);
            }
            fixture.awaitPending(0, NOTICED_MS);
            SidecarFixture.awaitReuseDelay();
            Thread serves = new Thread(() -> serveNext(place, endpoint));
            serves.start();
            assertEquals("second", fixture.sendRequest("order", DEADLINE_MS).body());
            serves.join();
        }
    }

    /** Serves the next request on the connection that exists, or on another where that was closed. */
    private static void serveNext(ServerSocket place, RawHttpClient endpoint) {
        try {
            RawHttpClient next = endpoint;
            try {
                next.read();
            } catch (IOException e) {
                next = new RawHttpClient(place.accept());
                next.read();
            }
            FakeEndpoint.answer(next, 200, "", "second");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
