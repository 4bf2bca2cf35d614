package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Orders of events that come seldom, each made to happen every time by its peers; docs/rare-orders.md. */
@Timeout(60)
class RareOrdersTest {

    private static final int DEADLINE_MS = 8000;
    /** The client's end has to show long before this, at which the request would be over anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static Fake good() throws IOException {
        return Fake.answering(200, "", "served");
    }

    private static double sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / 1e6;
    }

    private void awaitOpen(int requests) throws InterruptedException {
        Rig.await(requests + " requests are open", () -> rig.tableSizes().get(0) == requests);
    }

    /** A rig with one endpoint of its list at an address of the test's. */
    private Rig before(String address) throws IOException {
        rig = new Rig(Fake.place());
        rig.known = List.of(Rig.line(0, address, "in_service", 0));
        return rig;
    }

    // ---- a client leaves ----

    /** Guards against requests whose client has left while their connection came up, and which then run. */
    @ParameterizedTest
    @ValueSource(strings = {"order, cancel", "order", "read, cancel", "read"})
    void nothingIsSentForAClientThatLeftBeforeTheConnectionWasUp(String how) throws Exception {
        String kind = how.split(",")[0];
        try (LateEndpoint late = new LateEndpoint()) {
            before(late.address());
            rig.cancel = how.endsWith("cancel");
            rig.dialMs = 30_000;
            rig.start();
            long began = System.nanoTime();
            Wire leaves = rig.client().send(rig.request(kind, DEADLINE_MS));
            awaitOpen(1);
            Wire stays = rig.client().send(rig.request(kind, DEADLINE_MS));
            awaitOpen(2);
            leaves.close();
            awaitOpen(1);
            assertTrue(sinceMs(began) < NOTICED_MS, "withdrawn, and not timed out");
            late.open();
            assertEquals("late", stays.read().body());
            stays.close();
            assertEquals(
                    List.of("r1"),
                    late.requests.stream()
                            .map(request -> request.headers().get("x-request-id"))
                            .toList());
            // Nothing is held against the endpoint: it is asked at once.
            assertEquals("late", rig.ask("order", DEADLINE_MS).body());
        }
    }

    /**
     * Guards against an end behind bytes that nobody reads: a client that has eight requests in hand and the
     * beginning of a ninth sent, and leaves.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset", "fin behind more than is held", "fin behind a flood"})
    void theEndOfAClientFarAheadOfItsAnswersIsSeen(String how) throws Exception {
        rig = new Rig(new Fake((wire, request) -> wire.awaitEnd())).start();
        Wire client = rig.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            all.append(rig.request("order", DEADLINE_MS));
        }
        client.send(all.toString());
        Rig.await("some are at the endpoint", () -> rig.attempts() > 0);
        // Once another client has its answer, all that came before has been dealt with.
        rig.ask("order", DEADLINE_MS);
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
        awaitOpen(0);
        assertTrue(sinceMs(began) < NOTICED_MS, "noticed, and not timed out");
        Rig.await("its attempts are called off", () -> rig.endpoints.get(0).open.get() == 0);
    }

    /** Guards against bytes held back while eight are in hand that are lost, or told in another order. */
    @Test
    void whatIsHeldBackIsServedInItsTurn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Fake.Script script = (wire, request) -> {
            release.await();
            Fake.answer(wire, 200, "", request.headers().get("x-request-id"));
        };
        rig = new Rig(new Fake(script), new Fake(script), new Fake(script)).start();
        try (Wire client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                all.append(rig.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            Rig.await("eight are at the endpoints", () -> rig.attempts() == 8);
            String next = rig.request("read", DEADLINE_MS);
            client.send(next.substring(0, 20));
            rig.sidecar.loop().submit(() -> {}).get();
            client.send(next.substring(20));
            release.countDown();
            for (int i = 0; i < 9; i++) {
                assertEquals("r" + i, client.read().body());
            }
        }
        awaitOpen(0);
    }

    /** Guards against memory without end for a client far ahead: beyond a bound its bytes are read on. */
    @Test
    void whatIsHeldBackIsBounded() throws Exception {
        rig = new Rig(new Fake((wire, request) -> wire.awaitEnd())).start();
        try (Wire client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                all.append(rig.request("order", DEADLINE_MS));
            }
            client.send(all.toString());
            Rig.await("some are at the endpoint", () -> rig.attempts() > 0);
            long began = System.nanoTime();
            client.send(rig.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello", "Content-Length: 1000000\r\n\r\n" + "x".repeat(900_000)));
            Rig.await("it is taken for the body that it is, which has a bound", () -> bodyRoomTaken() > 800_000);
            assertTrue(sinceMs(began) < NOTICED_MS, "and not when the eight have timed out");
        }
        awaitOpen(0);
        Rig.await("nothing of it is kept", () -> bodyRoomTaken() == 0);
    }

    /** Guards against what a burst of clients leaves behind who go in the middle of their bodies. */
    @Test
    void clientsThatLeaveInTheMiddleOfTheirBodiesLeaveNothing() throws Exception {
        rig = new Rig(good(), good()).start();
        List<Wire> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            // Some bodies are collected, some passed on as they come.
            int length = i % 2 == 0 ? 200_000 : 2_000_000;
            clients.add(rig.client()
                    .send(rig.request("order", DEADLINE_MS)
                            .replace(
                                    "Content-Length: 5\r\n\r\nhello",
                                    "Content-Length: " + length + "\r\n\r\n" + "x".repeat(100_000))));
        }
        Rig.await("bodies are coming", () -> bodyRoomTaken() > 0);
        for (int i = 0; i < clients.size(); i++) {
            if (i % 3 == 0) {
                clients.get(i).reset();
            } else {
                clients.get(i).close();
            }
        }
        awaitOpen(0);
        Rig.await("the room of all bodies is free", () -> bodyRoomTaken() == 0);
        for (Fake endpoint : rig.endpoints) {
            Rig.await("its connections are gone", () -> endpoint.open.get() == 0);
            endpoint.requests.forEach(request -> assertTrue(
                    request.body().length() < Integer.parseInt(request.headers().get("content-length")),
                    "none came whole"));
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
    }

    private long bodyRoomTaken() {
        try {
            return rig.sidecar.loop().submit(rig.sidecar::bodyRoomTaken).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- shutdown ----

    /**
     * Guards against a request that is cut off because its last byte comes after the last call. A run in
     * which this machine took longer than the sidecar waits shows nothing and is made again.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 300_000, 1_300_000})
    void aRequestWhoseLastByteComesAfterTheLastCallIsAnswered(int bodySize) throws Exception {
        for (int i = 0; i < 10; i++) {
            rig = new Rig(good()).start();
            Wire idle = rig.client();
            assertEquals(
                    200, idle.send(rig.request("order", DEADLINE_MS)).read().status());
            Wire half = rig.client();
            assertEquals(
                    200, half.send(rig.request("order", DEADLINE_MS)).read().status());
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            Rig.await("the listener is closed", () -> !accepts(rig.sidecar.address()));
            // The head is broken off, or the body: one that is collected, one that is passed on as it comes.
            String request = rig.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello",
                            "Content-Length: " + bodySize + "\r\n\r\n" + "x".repeat(bodySize));
            int sent = bodySize == 5 ? 30 : request.length() - 10;
            half.send(request.substring(0, sent));
            // It has been read before the last call.
            assertEquals(
                    200, idle.send(rig.request("order", DEADLINE_MS)).read().status());
            idle.awaitEnd();
            long lastCall = System.nanoTime();
            try {
                half.send(request.substring(sent));
                double tookMs = sinceMs(lastCall);
                if (tookMs < 100) {
                    Wire.Message answer = half.read();
                    assertEquals(200, answer.status());
                    assertEquals("close", answer.headers().get("connection"));
                    drain.join();
                    return;
                }
            } catch (SocketException e) {
                assertTrue(sinceMs(lastCall) >= 100, "it was let go at once");
            }
            drain.join();
            rig.close();
        }
        throw new AssertionError("this machine was too busy in each of ten runs");
    }

    /**
     * Guards against a process that is gone before its last answers are taken. As above, a run in which this
     * machine took too long shows nothing.
     */
    @Test
    void aProcessWaitsForItsLastAnswersToBeTaken() throws Exception {
        for (int i = 0; i < 10; i++) {
            CountDownLatch release = new CountDownLatch(1);
            rig = new Rig(new Fake((wire, request) -> {
                        release.await();
                        Fake.answer(wire, 200, "", "served");
                    }))
                    .start();
            Wire idle = rig.client();
            idle.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").read();
            Wire slow = rig.client().send(rig.request("order", DEADLINE_MS));
            Rig.await("it is in hand", () -> rig.attempts() == 1);
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            long lastCall = System.nanoTime();
            release.countDown();
            // Longer than any other client is waited for.
            drain.join(450);
            boolean waits = drain.isAlive();
            double tookMs = sinceMs(lastCall);
            assertEquals(200, slow.read().status());
            slow.close();
            drain.join();
            if (tookMs < 700) {
                assertTrue(waits, "it was gone before");
                assertTrue(rig.logged().contains("martenlatch: drained"), rig.logged());
                return;
            }
            rig.close();
        }
        throw new AssertionError("this machine was too busy in each of ten runs");
    }

    private static boolean accepts(InetSocketAddress address) {
        try (Wire wire = Wire.to(address)) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- the list ----

    /** Guards against a silent watch that is waited for until what it misses counts as told. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void aWatchThatFellSilentIsOpenedAnewInTime(String membership) throws Exception {
        try (Fake other = good()) {
            rig = new Rig(good());
            rig.membership = membership;
            rig.askWithinMs = 4000;
            // Where lists are pushed the first call is for the whole list.
            int silent = membership.equals("pushed") ? 2 : 1;
            rig.discovery.script = (wire, request) -> {
                String good = rig.endpoints.get(0).address();
                if (rig.discovery.requests.size() < silent) {
                    Fake.answer(wire, 200, "", Rig.list(1, true, Rig.line(0, good, "in_service", 0)));
                } else if (rig.discovery.requests.size() == silent + 1) {
                    Fake.answer(
                            wire,
                            200,
                            "",
                            Rig.list(
                                    2,
                                    false,
                                    Rig.line(0, good, "terminating", 0),
                                    Rig.line(1, other.address(), "in_service", 0)));
                } else {
                    wire.awaitEnd();
                }
            };
            rig.start();
            Rig.await("it asks anew", () -> rig.discovery.requests.size() >= silent + 2);
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "what it missed is known now");
            assertTrue(rig.discovery.connections.get() >= 2, "the silent connection is not used again");
            assertTrue(rig.logged().contains("discovery watch timed out"), rig.logged());
            assertFalse(rig.logged().contains("discovery failed"), rig.logged());
        }
    }

    /**
     * Guards against a watch that is over because discovery closes each connection behind its answer, without
     * a word, and the next call crosses that.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset"})
    void aCallThatCrossesTheEndOfItsConnectionIsMadeAgain(String how) throws Exception {
        rig = new Rig(good());
        rig.discovery.script = (wire, request) -> {
            int version = rig.discovery.requests.size();
            if (version > 5) {
                wire.awaitEnd();
            }
            Fake.answer(
                    wire,
                    200,
                    "",
                    Rig.list(version + 1, true, Rig.line(0, rig.endpoints.get(0).address(), "in_service", 0)));
            if (how.equals("reset")) {
                // Only when the answer has been taken: a reset may overtake it.
                Rig.await("the next call is here", () -> available(wire) > 0);
                wire.reset();
            } else {
                wire.close();
            }
        };
        rig.askWithinMs = 2000;
        rig.start();
        Rig.await("it goes on asking", () -> rig.discovery.requests.size() > 5);
        assertFalse(rig.logged().contains("discovery failed"), rig.logged());
    }

    private static int available(Wire wire) {
        try {
            return wire.socket.getInputStream().available();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against half an answer that is waited for as long as a whole one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{\"version\":2,",
                "trickle"
            })
    void anAnswerThatBreaksOffIsNotWaitedFor(String half) throws Exception {
        try (Fake other = good();
                Fake moved = new Fake((wire, request) -> wire.awaitEnd())) {
            rig = new Rig(good()).start();
            moved.script = (wire, request) -> {
                switch (moved.requests.size()) {
                    case 1 ->
                        Fake.answer(
                                wire,
                                200,
                                "",
                                Rig.list(
                                        1,
                                        true,
                                        Rig.line(0, rig.endpoints.get(0).address(), "in_service", 0)));
                    case 2 -> breakOff(wire, half);
                    case 3 ->
                        Fake.answer(wire, 200, "", Rig.list(2, true, Rig.line(1, other.address(), "in_service", 0)));
                    default -> wire.awaitEnd();
                }
            };
            Files.writeString(rig.configFile, rig.config().replace(rig.discovery.address(), moved.address()));
            long began = System.nanoTime();
            rig.sidecar.reload();
            Rig.await("it asks anew, and goes on", () -> moved.requests.size() == 4);
            assertTrue(moved.requests.get(1).line().contains("wait=20000"), "the usual wait is much longer");
            assertTrue(sinceMs(began) < 10_000, "and is not waited for");
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
            assertTrue(rig.logged().contains("in the middle of a response"), rig.logged());
        }
    }

    private static void breakOff(Wire wire, String half) throws Exception {
        if (!half.equals("trickle")) {
            wire.send(half).awaitEnd();
        }
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n{");
        while (true) {
            wire.send(" ");
            Thread.sleep(50);
        }
    }

    /** Guards against a list that is thought older than it is: what discovery says last holds. */
    @Test
    void aListIsTakenWhateverItsVersionAndForm() throws Exception {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        try (Fake other = Fake.answering(200, "", "other")) {
            rig = new Rig(good());
            rig.askWithinMs = 20;
            rig.discovery.script = (wire, request) -> Fake.answer(wire, 200, "", answers.take());
            rig.start();
            String first = rig.endpoints.get(0).address();
            String indented = Rig.list(
                            7,
                            false,
                            Rig.line(0, first, "terminating", 0),
                            Rig.line(1, other.address(), "in_service", 0))
                    .replaceAll("([,{\\[])", "$1\n    ");
            answers.add(indented);
            answers.add(Rig.list(7, false));
            Rig.await("both are taken", () -> rig.discovery.requests.size() == 3);
            assertEquals("other", rig.ask("order", DEADLINE_MS).body());
            answers.add(Rig.list(3, true, Rig.line(0, first, "in_service", 0)));
            Rig.await("so is this", () -> rig.discovery.requests.size() == 4);
            assertEquals("served", rig.ask("order", DEADLINE_MS).body());
            assertEquals(
                    List.of("index=1&", "index=7&", "index=7&", "index=3&"),
                    rig.discovery.requests.stream()
                            .map(request -> request.line().replaceAll(".*(index=\\d+&).*", "$1"))
                            .toList());
        }
    }

    /**
     * Guards against a request that goes to an endpoint long after the list has said that it drains, because
     * its connection came up late; and against one that is given up although others could serve it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "left out", "restarted"})
    void anAttemptThatWaitsForItsConnectionLeavesAnEndpointThatDrains(String how) throws Exception {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        try (LateEndpoint late = new LateEndpoint();
                Fake other = good();
                Fake again = good()) {
            before(late.address());
            rig.dialMs = 30_000;
            rig.askWithinMs = 20;
            rig.discovery.script = (wire, request) -> Fake.answer(wire, 200, "", answers.take());
            rig.start();
            Wire unsafe = rig.client().send(rig.request("order", DEADLINE_MS));
            awaitOpen(1);
            Rig.await("a watch is on", () -> rig.discovery.requests.size() == 1);
            String next = Rig.line(1, other.address(), "in_service", 0);
            answers.add(
                    switch (how) {
                        case "left out" -> Rig.list(2, true, next);
                        case "restarted" ->
                            Rig.list(
                                    2,
                                    false,
                                    next,
                                    Rig.line(0, again.address(), "in_service", System.currentTimeMillis()));
                        default -> Rig.list(2, false, next, Rig.line(0, late.address(), how, 0));
                    });
            assertEquals("served", unsafe.read().body(), "it never ran, so another one may have it");
            unsafe.close();
            late.open();
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
            assertEquals(List.of(), late.requests);
        }
    }

    /** Guards against a start from a list that is older than what this machine's agent has been told. */
    @Test
    void whereListsArePushedTheAgentIsHeardBeforeTheFirstClient() throws Exception {
        List<String> seen = Collections.synchronizedList(new ArrayList<>());
        try (Fake other = good()) {
            rig = new Rig(good());
            rig.membership = "pushed";
            CountDownLatch looked = new CountDownLatch(1);
            rig.discovery.script = (wire, request) -> {
                // A sidecar that does not wait for the agent listens within milliseconds.
                for (int i = 0;
                        i < 100 && looked.getCount() > 0 && !rig.logged().contains("listens");
                        i++) {
                    Thread.sleep(10);
                }
                if (looked.getCount() > 0) {
                    seen.add(rig.logged().contains("listens") ? "listens" : "waits");
                    looked.countDown();
                }
                Fake.answer(
                        wire,
                        200,
                        "",
                        Rig.list(
                                2,
                                true,
                                Rig.line(0, rig.endpoints.get(0).address(), "terminating", 0),
                                Rig.line(1, other.address(), "in_service", 0)));
            };
            rig.start();
            assertEquals("waits", seen.get(0));
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
        }
    }

    /** An agent that is silent, as while discovery is down, does not keep a sidecar from serving. */
    @Test
    void aSilentAgentIsWaitedForOnlyForAWhile() throws Exception {
        rig = new Rig(good());
        rig.membership = "pushed";
        rig.start();
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        assertTrue(rig.discovery.requests.size() > 1, "it is asked again and again");
    }

    // ---- repeats ----

    /**
     * Guards against a repeat that is decided on in time and sent when the endpoints have forgotten the first
     * attempt: its connection comes up late.
     */
    @Test
    void aKeyedRepeatIsNotSentAfterItsWindow() throws Exception {
        try (ServerSocket place = LateEndpoint.queue()) {
            before("127.0.0.1:" + place.getLocalPort());
            rig.dialMs = 30_000;
            rig.windowMs = 3000;
            rig.start();
            long began = System.nanoTime();
            Wire client = rig.client().send(rig.request("move", DEADLINE_MS));
            Wire first = new Wire(place.accept());
            first.read();
            try (LateEndpoint late = new LateEndpoint(place)) {
                first.reset();
                Wire.Message answer = client.read();
                assertEquals(503, answer.status(), "every endpoint drops it when it is sent again in time");
                assertTrue(sinceMs(began) >= 2500, "it was to be repeated within the window");
                assertTrue(sinceMs(began) < NOTICED_MS, "given up is answered at once");
                late.open();
                assertEquals("late", rig.ask("order", DEADLINE_MS).body());
                assertEquals(
                        List.of("r1"),
                        late.requests.stream()
                                .map(request -> request.headers().get("x-request-id"))
                                .toList());
            }
            client.close();
        }
    }

    // ---- a client and its answer ----

    /** A client that ends its side has left, as one that closes: nobody can tell them apart. */
    @Test
    void aClientThatEndsItsSideHasLeft() throws Exception {
        Fake hung = new Fake((wire, request) -> wire.awaitEnd());
        rig = new Rig(hung).start();
        try (Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            client.socket.shutdownOutput();
            try {
                client.read();
                throw new AssertionError("an answer for nobody");
            } catch (EOFException | SocketException e) {
                awaitOpen(0);
            }
        }
        Rig.await("what was sent is called off", () -> hung.open.get() == 0);
    }
}
