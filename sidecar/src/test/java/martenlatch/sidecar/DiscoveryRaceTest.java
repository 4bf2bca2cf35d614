package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches that break, responses that cross the end of a connection, and lists that arrive while attempts wait. */
@Timeout(60)
class DiscoveryRaceTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a silent watch that is waited for until what it misses counts as told. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void aWatchThatFellSilentIsOpenedAnewInTime(String membership) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = membership;
            fixture.pollIntervalMs = 4000;
            // Where lists are pushed the first call is for the whole list.
            int silent = membership.equals("pushed") ? 2 : 1;
            fixture.discovery.script = (wire, request) -> {
                String good = fixture.endpoints.get(0).address();
                if (fixture.discovery.requests.size() < silent) {
                    FakeEndpoint.answer(
                            wire, 200, "", SidecarFixture.list(1, true, SidecarFixture.line(0, good, "in_service", 0)));
                } else if (fixture.discovery.requests.size() == silent + 1) {
                    FakeEndpoint.answer(
                            wire,
                            200,
                            "",
                            SidecarFixture.list(
                                    2,
                                    false,
                                    SidecarFixture.line(0, good, "terminating", 0),
                                    SidecarFixture.line(1, other.address(), "in_service", 0)));
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            SidecarFixture.await("it asks anew", () -> fixture.discovery.requests.size() >= silent + 2);
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "what it missed is known now");
            assertTrue(fixture.discovery.connections.get() >= 2, "the silent connection is not used again");
            assertTrue(fixture.logged().contains("discovery watch timed out"), fixture.logged());
            assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
        }
    }

    /**
     * Guards against a watch that is over because discovery closes each connection behind its answer, without
     * a word, and the next call crosses that.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset"})
    void aCallThatCrossesTheEndOfItsConnectionIsMadeAgain(String how) throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.discovery.script = (wire, request) -> {
            int version = fixture.discovery.requests.size();
            if (version > 5) {
                wire.awaitClose();
            }
            FakeEndpoint.answer(
                    wire,
                    200,
                    "",
                    SidecarFixture.list(
                            version + 1,
                            true,
                            SidecarFixture.line(0, fixture.endpoints.get(0).address(), "in_service", 0)));
            if (how.equals("reset")) {
                // Only when the answer has been taken, as the next call or the end of the test shows: a reset may
                // overtake it.
                wire.socket.getInputStream().read();
                wire.reset();
            } else {
                wire.close();
            }
        };
        fixture.pollIntervalMs = 2000;
        fixture.start();
        SidecarFixture.await("it goes on asking", () -> fixture.discovery.requests.size() > 5);
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /**
     * Guards against a change that is missed for longer than the time after which it counts as notified: the pause
     * before the next poll grows with each that failed, while discovery can be reached again long since.
     */
    @Test
    void aDiscoveryThatRejectsPollAfterPollIsPolledAgainInTime() throws Exception {
        int rejected = 4;
        List<Long> pollNanos = Collections.synchronizedList(new ArrayList<>());
        try (FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint moved = new FakeEndpoint((wire, request) -> wire.awaitClose())) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            moved.script = (wire, request) -> {
                pollNanos.add(System.nanoTime());
                if (pollNanos.size() <= rejected) {
                    FakeEndpoint.answer(wire, 503, "", "");
                } else if (pollNanos.size() == rejected + 1) {
                    String drained =
                            SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0);
                    String ready = SidecarFixture.line(1, other.address(), "in_service", 0);
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(2, true, drained, ready));
                } else {
                    wire.awaitClose();
                }
            };
            Files.writeString(
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), moved.address()));
            // The poll interval of the fixture is ten minutes: pauses that go by it alone would take minutes.
            fixture.sidecar.reload();
            SidecarFixture.await("it polls again and again", () -> pollNanos.size() > rejected + 1);
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "and has learned of the drain");
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
        try (FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint moved = new FakeEndpoint((wire, request) -> wire.awaitClose())) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            moved.script = (wire, request) -> {
                switch (moved.requests.size()) {
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
                    case 2 -> breakOff(wire, half);
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
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), moved.address()));
            long began = System.nanoTime();
            fixture.sidecar.reload();
            SidecarFixture.await("it asks anew, and goes on", () -> moved.requests.size() == 4);
            assertTrue(moved.requests.get(1).startLine().contains("wait=20000"), "the usual wait is much longer");
            assertTrue(SidecarFixture.elapsedMs(began) < 10_000, "and is not waited for");
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
            assertTrue(fixture.logged().contains("in the middle of a response"), fixture.logged());
        }
    }

    /** Guards against a list that is thought older than it is: what discovery says last holds. */
    @Test
    void aListIsTakenWhateverItsVersionAndForm() throws Exception {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        try (FakeEndpoint other = FakeEndpoint.answering(200, "", "other")) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.pollIntervalMs = 20;
            fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", answers.take());
            fixture.start();
            String first = fixture.endpoints.get(0).address();
            String indented = SidecarFixture.list(
                            7,
                            false,
                            SidecarFixture.line(0, first, "terminating", 0),
                            SidecarFixture.line(1, other.address(), "in_service", 0))
                    .replaceAll("([,{\\[])", "$1\n    ");
            answers.add(indented);
            answers.add(SidecarFixture.list(7, false));
            SidecarFixture.await("both are taken", () -> fixture.discovery.requests.size() == 3);
            assertEquals("other", fixture.sendRequest("order", DEADLINE_MS).body());
            answers.add(SidecarFixture.list(3, true, SidecarFixture.line(0, first, "in_service", 0)));
            SidecarFixture.await("so is this", () -> fixture.discovery.requests.size() == 4);
            assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
            assertEquals(
                    List.of("index=1&", "index=7&", "index=7&", "index=3&"),
                    fixture.discovery.requests.stream()
                            .map(request -> request.startLine().replaceAll(".*(index=\\d+&).*", "$1"))
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
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint();
                FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint again = FakeEndpoint.serving()) {
            fixture = SidecarFixture.withEndpointAt(late.address());
            fixture.connectTimeoutMs = 30_000;
            fixture.pollIntervalMs = 20;
            fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", answers.take());
            fixture.start();
            RawHttpClient unsafe = fixture.client().send(fixture.request("order", DEADLINE_MS));
            fixture.awaitPending(1);
            SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
            String next = SidecarFixture.line(1, other.address(), "in_service", 0);
            answers.add(
                    switch (how) {
                        case "left out" -> SidecarFixture.list(2, true, next);
                        case "restarted" ->
                            SidecarFixture.list(
                                    2,
                                    false,
                                    next,
                                    SidecarFixture.line(0, again.address(), "in_service", System.currentTimeMillis()));
                        default -> SidecarFixture.list(2, false, next, SidecarFixture.line(0, late.address(), how, 0));
                    });
            assertEquals("served", unsafe.read().body(), "it never ran, so another one may have it");
            unsafe.close();
            late.startAccepting();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(List.of(), late.requests);
        }
    }

    /** Guards against a start from a list that is older than what this machine's agent has been told. */
    @Test
    void whereListsArePushedTheAgentIsHeardBeforeTheFirstClient() throws Exception {
        List<String> seen = Collections.synchronizedList(new ArrayList<>());
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = "pushed";
            CountDownLatch looked = new CountDownLatch(1);
            fixture.discovery.script = (wire, request) -> {
                // A sidecar that does not wait for the agent listens within milliseconds.
                for (int i = 0;
                        i < 100 && looked.getCount() > 0 && !fixture.logged().contains("listening");
                        i++) {
                    Thread.sleep(10);
                }
                if (looked.getCount() > 0) {
                    seen.add(fixture.logged().contains("listening") ? "listening" : "waits");
                    looked.countDown();
                }
                FakeEndpoint.answer(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(
                                2,
                                true,
                                SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0),
                                SidecarFixture.line(1, other.address(), "in_service", 0)));
            };
            fixture.start();
            assertEquals("waits", seen.get(0));
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
        }
    }

    /**
     * Guards against a start from a list that is older than a change which discovery has had for long: clients are let
     * in when discovery has answered, also where a crowded discovery rejects the first polls.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void whereListsArePolledDiscoveryIsHeardBeforeTheFirstClient(int rejections) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.maxListWaitMs = SidecarFixture.AWAIT_TIMEOUT_MS;
            AtomicInteger polls = new AtomicInteger();
            fixture.discovery.script = (wire, request) -> {
                int poll = polls.incrementAndGet();
                if (poll <= rejections) {
                    FakeEndpoint.answer(wire, 503, "", "");
                } else if (poll == rejections + 1) {
                    String drained =
                            SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0);
                    String ready = SidecarFixture.line(1, other.address(), "in_service", 0);
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(2, false, drained, ready));
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the endpoint of the old list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
        }
    }

    /**
     * A crowded discovery works through calls in turn, also those that it rejects: a rejection may come seconds
     * after its poll. A start used to take a poll that had been open for 2.1 s for an accepted watch, and its list for
     * current ("serving on" stood before "poll 1 failed: status 503"). Such a poll says nothing of the list.
     */
    @Test
    void aPollThatIsRejectedLateDoesNotConfirmTheList() throws Exception {
        int rejectedAfterMs = 2600;
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.maxListWaitMs = SidecarFixture.AWAIT_TIMEOUT_MS;
            AtomicInteger polls = new AtomicInteger();
            fixture.discovery.script = (wire, request) -> {
                int poll = polls.incrementAndGet();
                if (poll == 1) {
                    Thread.sleep(rejectedAfterMs);
                    FakeEndpoint.answer(wire, 503, "", "");
                } else if (poll == 2) {
                    String drained =
                            SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0);
                    String ready = SidecarFixture.line(1, other.address(), "in_service", 0);
                    FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(2, false, drained, ready));
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the endpoint of the old list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
        }
    }

    /**
     * A discovery with nothing newer says so at once, as the first poll asks it to, and the start does not wait any
     * longer; the watch comes after that. A watch that is only kept open tells nothing of the list.
     */
    @Test
    void aDiscoveryWithNothingNewerConfirmsTheListAtOnce() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.maxListWaitMs = SidecarFixture.AWAIT_TIMEOUT_MS;
        fixture.discovery.script = (wire, request) -> {
            if (request.startLine().endsWith("wait=1 HTTP/1.1")) {
                FakeEndpoint.answer(wire, 200, "", SidecarFixture.list(1, false));
            } else {
                wire.awaitClose();
            }
        };
        fixture.start();
        SidecarFixture.await("a watch is started", () -> fixture.discovery.requests.size() == 2);
        assertTrue(fixture.discovery.requests.get(1).startLine().contains("index=1&wait=20000"));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertFalse(fixture.logged().contains("from the configuration's endpoint list"), fixture.logged());
    }

    /** An outage of discovery does not keep a sidecar from serving. */
    @Test
    void aDiscoveryThatRejectsEveryPollIsWaitedForOnlyForAWhile() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.maxListWaitMs = 1500;
        fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 503, "", "");
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("endpoint list: TIMED_OUT"), fixture.logged());
    }

    /** An agent that is silent, as while discovery is down, does not keep a sidecar from serving. */
    @Test
    void aSilentAgentIsWaitedForOnlyForAWhile() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.membership = "pushed";
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.discovery.requests.size() > 1, "it is asked again and again");
    }

    /**
     * What the agent of this machine has counts as notified from the first moment of a new process, also where the
     * agent begins to listen later than the process. On processes (the agent listens 2.2 s after the start, four
     * starts) 11 to 20 requests went to an endpoint that the agent knew to be gone. The cause: the start went on at the
     * first refused connection ("DISCOVERY_UNREACHABLE" in the log), as it may where lists are polled.
     */
    @ParameterizedTest
    @ValueSource(ints = {1200, 2600})
    void anAgentThatListensLateIsHeardBeforeTheFirstClient(int listensAfterMs) throws Exception {
        // Nothing else on this machine takes a port at this address meanwhile.
        InetSocketAddress agentAddress;
        try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.77"))) {
            agentAddress = (InetSocketAddress) reserved.getLocalSocketAddress();
        }
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = "pushed";
            fixture.discoveryAddress = agentAddress.getHostString() + ":" + agentAddress.getPort();
            String drained = SidecarFixture.line(0, fixture.endpoints.get(0).address(), "terminating", 0);
            String ready = SidecarFixture.line(1, other.address(), "in_service", 0);
            CompletableFuture<FakeEndpoint> agent = CompletableFuture.supplyAsync(
                    () -> agentAt(agentAddress, SidecarFixture.list(2, true, drained, ready)),
                    CompletableFuture.delayedExecutor(listensAfterMs, TimeUnit.MILLISECONDS));
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the agent knows that the other one has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
            agent.join().close();
        }
    }

    private static FakeEndpoint agentAt(InetSocketAddress address, String list) {
        try {
            return new FakeEndpoint(address, (wire, request) -> FakeEndpoint.answer(wire, 200, "", list));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void breakOff(RawHttpClient wire, String half) throws Exception {
        if (!half.equals("trickle")) {
            wire.send(half).awaitClose();
        }
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n{");
        while (true) {
            wire.send(" ");
            Thread.sleep(50);
        }
    }
}
