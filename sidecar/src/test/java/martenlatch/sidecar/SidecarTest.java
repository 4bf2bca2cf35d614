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

/** The whole sidecar on loopback sockets. */
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

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "Content-Type: text/x\r\n", "served");
    }

    // ---- a request and its answer ----

    @Test
    void aRequestAndItsAnswerGoThroughUnchanged() throws Exception {
        start(good());
        RawHttpClient.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(200, answer.status());
        assertEquals("served", answer.body());
        assertEquals("text/x", answer.headers().get("content-type"));
        RawHttpClient.Message seen = fixture.endpoints.get(0).requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", seen.startLine());
        assertEquals("hello", seen.body());
        assertEquals("r0", seen.headers().get("x-request-id"));
        assertEquals("k1", seen.headers().get("idempotency-key"));
        int deadline = Integer.parseInt(seen.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= DEADLINE_MS, "what the sidecar waits: " + deadline);
    }

    @Test
    void connectionsAreKeptOnBothSides() throws Exception {
        start(good());
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

    /** Guards against answers that overtake: a client that sends ahead takes them by their order. */
    @Test
    void answersKeepTheOrderOfTheRequests() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        start(new FakeEndpoint((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                second.await();
            } else {
                second.countDown();
            }
            FakeEndpoint.answer(wire, 200, "", request.headers().get("x-request-id"));
        }));
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertEquals("r1", client.read().body());
        }
    }

    // ---- what may have run, and what never did ----

    /** Guards against attempts that share what they send: each has all of it, and its own time. */
    @Test
    void eachAttemptCarriesTheSameRequestAndItsOwnTime() throws Exception {
        FakeEndpoint.Script turnsAway = (wire, request) -> {
            Thread.sleep(20);
            FakeEndpoint.answer(wire, 503, "X-Not-Run: 1\r\n", "full");
        };
        start(new FakeEndpoint(turnsAway), new FakeEndpoint(turnsAway), new FakeEndpoint(turnsAway));
        try (RawHttpClient client = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Host: app.svc",
                            "Host: app.svc\r\nCookie: a=1\r\nTE: gzip\r\nX-Twice: one\r\nX-Twice: two");
            assertEquals(503, client.send(request).read().status());
        }
        assertEquals(3, fixture.attempts());
        List<Map<String, String>> heads = new ArrayList<>();
        List<Integer> times = new ArrayList<>();
        for (FakeEndpoint endpoint : fixture.endpoints) {
            RawHttpClient.Message attempt = endpoint.requests.get(0);
            assertEquals("hello", attempt.body());
            Map<String, String> head = new HashMap<>(attempt.headers());
            times.add(Integer.parseInt(head.remove("x-deadline-ms")));
            heads.add(head);
        }
        assertEquals(heads.get(0), heads.get(1));
        assertEquals(heads.get(0), heads.get(2));
        assertEquals("a=1", heads.get(0).get("cookie"));
        assertFalse(heads.get(0).containsKey("te"), "that concerned the client's connection");
        Collections.sort(times);
        assertTrue(times.get(0) <= times.get(1) - 15 && times.get(1) <= times.get(2) - 15, times.toString());
    }

    /** Guards against effects that happen twice: an unsafe request that may have run is not sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "half", "unframed", "garbage", "503", "504", "500", "201"})
    void anUnsafeRequestThatMayHaveRunFailsAtOnce(String how) throws Exception {
        FakeEndpoint.Script script = (wire, request) -> {
            switch (how) {
                case "reset" -> wire.reset();
                case "half" -> {
                    wire.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    wire.close();
                }
                case "unframed" -> {
                    wire.send("HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all");
                    wire.close();
                }
                case "garbage" -> wire.send("what?\r\n\r\n");
                default -> FakeEndpoint.answer(wire, Integer.parseInt(how), "", "mine");
            }
        };
        start(new FakeEndpoint(script), new FakeEndpoint(script));
        RawHttpClient.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(502, answer.status());
        assertFalse(answer.body().contains("mine"), "an endpoint's refusal or error is not passed on");
        assertEquals(1, fixture.attempts());
    }

    /** Guards against giving up too early: what surely never ran may be tried elsewhere, unsafe or not. */
    @ParameterizedTest
    @CsvSource({"order,503", "order,504", "order,refused", "read,500", "read,reset"})
    void whatIsKnownToBeHarmlessIsTriedElsewhere(String kind, String how) throws Exception {
        FakeEndpoint bad = new FakeEndpoint((wire, request) -> {
            if (how.equals("reset")) {
                wire.reset();
            } else {
                FakeEndpoint.answer(wire, Integer.parseInt(how), "X-Not-Run: 1\r\n", "");
            }
        });
        FakeEndpoint other = new FakeEndpoint(bad.script);
        start(bad, other);
        FakeEndpoint.Script good = (wire, request) -> FakeEndpoint.answer(wire, 200, "", "served");
        // Whichever is asked first fails, and the other one serves.
        if (how.equals("refused")) {
            bad.close();
            other.script = good;
        } else {
            FakeEndpoint.Script first = bad.script;
            FakeEndpoint.Script once = (wire, request) -> {
                bad.script = good;
                other.script = good;
                first.on(wire, request);
            };
            bad.script = once;
            other.script = once;
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, fixture.sendRequest(kind, DEADLINE_MS).status());
        }
    }

    /** Guards against a hang that holds everything: the attempt is given up and its connection closed. */
    @Test
    void anAttemptThatIsGivenUpClosesItsConnection() throws Exception {
        FakeEndpoint hung = new FakeEndpoint((wire, request) -> wire.awaitClose());
        start(hung);
        RawHttpClient.Message answer = fixture.sendRequest("order", 300);
        assertEquals(502, answer.status(), "it may have run");
        SidecarFixture.await("the connection is closed", () -> hung.open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    @Test
    void aClientThatGoesAwayTakesItsAttemptsAlong() throws Exception {
        FakeEndpoint hung = new FakeEndpoint((wire, request) -> wire.awaitClose());
        start(hung);
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the attempt is out", () -> hung.requests.size() == 1);
        }
        SidecarFixture.await("the attempt is called off", () -> hung.open.get() == 0);
    }

    /** Guards against clients that come straight back: a refusal is given at once and says when. */
    @Test
    void aRefusalComesAtOnceAndTellsWhenToComeBack() throws Exception {
        start();
        long began = System.nanoTime();
        RawHttpClient.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(503, answer.status());
        assertEquals(0.5, Double.parseDouble(answer.headers().get("retry-after")));
        assertTrue((System.nanoTime() - began) / 1e6 < DEADLINE_MS / 2.0, "long before the deadline");
    }

    /**
     * Guards against events inside the module's own call: with all connections busy an attempt ends within
     * send. Also against more sockets than there are.
     */
    @Test
    void attemptsBeyondTheLastConnectionEndInOrder() throws Exception {
        FakeEndpoint[] hung = new FakeEndpoint[4];
        for (int i = 0; i < hung.length; i++) {
            hung[i] = new FakeEndpoint((wire, request) -> wire.awaitClose());
        }
        fixture = new SidecarFixture(hung);
        fixture.sockets = 1;
        fixture.start();
        try (RawHttpClient ahead = fixture.client()) {
            for (int i = 0; i < 8; i++) {
                ahead.send(fixture.request("order", DEADLINE_MS));
            }
            SidecarFixture.await("all connections are busy", () -> fixture.attempts() == 8);
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(8, fixture.attempts());
            assertTrue(fixture.logged().contains("all 8 connections to endpoints are busy"), fixture.logged());
            assertFalse(fixture.logged().contains("module failed"), fixture.logged());
        }
    }

    /** Guards against running out of descriptors: beyond the bound clients are refused in good order. */
    @Test
    void clientsBeyondTheBoundAreRefused() throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((wire, request) -> wire.awaitClose()));
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
        }
        SidecarFixture.await("some are in hand", () -> fixture.attempts() == 4);
        // Idle ones make room for those that come after; busy ones stay.
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
                "the endpoint is let go", () -> fixture.endpoints.get(0).open.get() == 0);
        fixture.endpoints.get(0).script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", "served");
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    // ---- what is no request ----

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
    void whatIsNoRequestGetsAPlainAnswer(String part, String instead, int status) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", "served");
        }));
        try (RawHttpClient other = fixture.client();
                RawHttpClient client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            other.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another request is in hand", () -> fixture.attempts() == 1);
            assertTrue(request.contains(part), part);
            assertEquals(
                    status, client.send(request.replace(part, instead)).read().status());
            release.countDown();
            assertEquals(200, other.read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    @Test
    void anIdThatIsInHandIsNotTakenTwice() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", "served");
        }));
        try (RawHttpClient one = fixture.client();
                RawHttpClient two = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            one.send(request);
            SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
            assertEquals(409, two.send(request).read().status());
            release.countDown();
            assertEquals(200, one.read().status());
        }
    }

    // ---- connections to endpoints ----

    /** Guards against writing on a connection that the endpoint is closing, which would be a reset. */
    @Test
    void idleConnectionsAreClosedBeforeTheEndpointDoes() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.idleCloseMs = 400;
        fixture.start();
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
        SidecarFixture.await(
                "the idle connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    // ---- discovery ----

    /** A discovery that answers calls with what the test puts in, one after another. */
    private LinkedBlockingQueue<String> discovering() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        fixture.discovery.script = (wire, request) -> {
            String answer = answers.take();
            if (answer.equals("reset")) {
                wire.reset();
            } else {
                FakeEndpoint.answer(wire, answer.isEmpty() ? 503 : 200, "", answer);
            }
        };
        return answers;
    }

    @Test
    void theWatchGoesOnFromTheVersionOfItsLastAnswer() throws Exception {
        FakeEndpoint before = good();
        FakeEndpoint after = good();
        fixture = new SidecarFixture(before);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        answers.add(SidecarFixture.list(
                7,
                false,
                SidecarFixture.line(0, before.address(), "terminating", 0),
                SidecarFixture.line(1, after.address(), "in_service", 0)));
        SidecarFixture.await("the next call is made", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                List.of(
                        "GET /registry/instances?index=1&wait=1 HTTP/1.1",
                        "GET /registry/instances?index=7&wait=4000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(RawHttpClient.Message::startLine)
                        .toList());
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(0, before.requests.size(), "it drains");
        assertEquals(1, after.requests.size());
        after.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "reset", "{\"version\":", "{\"version\":1}"})
    void aCallThatFailedIsMadeAgain(String failure) throws Exception {
        fixture = new SidecarFixture(good());
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        answers.add(failure);
        answers.add(failure);
        SidecarFixture.await("it asks again", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against connections to a process that is no more, on which a request would be reset. */
    @ParameterizedTest
    @CsvSource({"true,0", "false,1000"})
    void anEndpointThatMovesOrRestartsGetsNewConnections(boolean moves, long started) throws Exception {
        FakeEndpoint old = good();
        fixture = new SidecarFixture(old);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        FakeEndpoint now = moves ? good() : old;
        answers.add(SidecarFixture.list(2, false, SidecarFixture.line(0, now.address(), "in_service", started)));
        SidecarFixture.await("the old connection is closed", () -> old.open.get() == 0);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(moves ? 1 : 2, old.connections.get());
        now.close();
    }

    // ---- start and end ----

    @Test
    void itIsReadyOnlyWithAnEndpointToServeFrom() throws Exception {
        start();
        String ask = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        try (RawHttpClient client = fixture.client()) {
            assertEquals(503, client.send(ask).read().status());
        }
        stop();
        start(good());
        SidecarFixture.await("it is ready once it is warm", () -> {
            try (RawHttpClient client = fixture.client()) {
                return client.send(ask).read().status() == 200;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against requests lost at a planned restart: those in hand and those still coming are served. */
    @Test
    void aDrainAnswersWhatIsInHandAndWhatStillComes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new FakeEndpoint((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                release.await();
            }
            FakeEndpoint.answer(wire, 200, "", "served");
        }));
        RawHttpClient inHand = fixture.client().send(fixture.request("order", DEADLINE_MS));
        RawHttpClient idle = fixture.client();
        RawHttpClient kept = fixture.client();
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
        assertEquals(
                200, kept.send(fixture.request("order", DEADLINE_MS)).read().status());
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        int served = 0;
        try {
            while (true) {
                assertEquals(
                        200,
                        kept.send(fixture.request("order", DEADLINE_MS)).read().status());
                served++;
            }
        } catch (IOException e) {
            assertTrue(served > 1, "a connection that stands goes on for a while");
        }
        idle.awaitClose();
        assertTrue(drain.isAlive(), "it waits for what is in hand");
        release.countDown();
        RawHttpClient.Message answer = inHand.read();
        assertEquals(200, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        drain.join();
        assertThrows(IOException.class, () -> fixture.client());
    }

    /**
     * Guards against requests lost at a planned restart: a client that would wait for longer than the process
     * lives has its answer before its end.
     */
    @Test
    void aDrainAnswersInTimeWhatNoEndpointAnswers() throws Exception {
        start(new FakeEndpoint((wire, request) -> wire.awaitClose()));
        RawHttpClient unsafe = fixture.client().send(fixture.request("order", DEADLINE_MS));
        RawHttpClient safe = fixture.client().send(fixture.request("read", DEADLINE_MS));
        SidecarFixture.await("both are at the endpoint", () -> fixture.attempts() == 2);
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        assertEquals(502, unsafe.read().status(), "it may have run");
        assertEquals(503, safe.read().status(), "it may be tried elsewhere");
        unsafe.close();
        safe.close();
        drain.join();
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against a warm-up that leaks: endpoints see nothing of it, discovery the sidecar's own watch alone. */
    @Test
    void theWarmUpStaysWithinTheSidecar() throws Exception {
        start(good());
        SidecarFixture.await("it is warm", () -> fixture.logged().contains("warm-up finished after"));
        SidecarFixture.await("the watch is on", () -> !fixture.discovery.requests.isEmpty());
        assertEquals(0, fixture.endpoints.get(0).connections.get());
        assertEquals(1, fixture.discovery.requests.size());
        assertTrue(fixture.discovery.requests.get(0).startLine().contains("?index=1&"), "the version of its own list");
    }

    /** Guards against one bad peer that harms the rest. */
    @Test
    void rudePeersHarmNobody() throws Exception {
        start(good());
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
