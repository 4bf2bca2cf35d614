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

/** Tests broken watches, polls that race with the close of a connection, and endpoint lists at startup. */
@Timeout(60)
class DiscoveryRaceTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a silent watch that is restarted only after the changes that it misses count as notified. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void silentWatchIsRestartedInTime(String membership) throws Exception {
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = membership;
            fixture.pollIntervalMs = 4000;
            // If lists are pushed, the first poll requests the whole list.
            int silentPoll = membership.equals("pushed") ? 2 : 1;
            fixture.discovery.script = (wire, request) -> {
                String firstAddress = fixture.endpoints.get(0).address();
                if (fixture.discovery.requests.size() < silentPoll) {
                    FakeEndpoint.answer(
                            wire,
                            200,
                            "",
                            SidecarFixture.list(1, true, SidecarFixture.line(0, firstAddress, "in_service", 0)));
                } else if (fixture.discovery.requests.size() == silentPoll + 1) {
                    FakeEndpoint.answer(
                            wire,
                            200,
                            "",
                            SidecarFixture.list(
                                    2,
                                    false,
                                    SidecarFixture.line(0, firstAddress, "terminating", 0),
                                    SidecarFixture.line(1, other.address(), "in_service", 0)));
                } else {
                    wire.awaitClose();
                }
            };
            fixture.start();
            SidecarFixture.await("the watch is restarted", () -> fixture.discovery.requests.size() >= silentPoll + 2);
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the missed change is applied");
            assertTrue(fixture.discovery.connections.get() >= 2, "the silent connection is not reused");
            assertTrue(fixture.logged().contains("discovery watch timed out"), fixture.logged());
            assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
        }
    }

    /**
     * Guards against a watch that fails because discovery closes or resets each connection after its response without
     * announcing it, and the next poll races with the close.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "reset"})
    void pollThatRacesWithConnectionCloseIsResent(String closeMode) throws Exception {
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
            if (closeMode.equals("reset")) {
                // A reset may overtake the response, so wait for the next poll or the end of the test first.
                wire.socket.getInputStream().read();
                wire.reset();
            } else {
                wire.close();
            }
        };
        fixture.pollIntervalMs = 2000;
        fixture.start();
        SidecarFixture.await("polling continues", () -> fixture.discovery.requests.size() > 5);
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /**
     * Guards against a change that is missed until it counts as notified: the delay before the next poll grows with
     * each failed poll, although discovery accepts polls again.
     */
    @Test
    void discoveryIsPolledAgainInTimeAfterRepeatedRejections() throws Exception {
        int rejected = 4;
        List<Long> pollNanos = Collections.synchronizedList(new ArrayList<>());
        try (FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint newDiscovery = new FakeEndpoint((wire, request) -> wire.awaitClose())) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            newDiscovery.script = (wire, request) -> {
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
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
            // The poll interval of the fixture is ten minutes; delays derived from it alone would take minutes.
            fixture.sidecar.reload();
            SidecarFixture.await("polling continues after the rejections", () -> pollNanos.size() > rejected + 1);
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the drain is applied");
        }
    }

    /** Guards against a list being ignored because of its version: the list received last is always applied. */
    @Test
    void listIsAppliedWhateverItsVersionAndFormatting() throws Exception {
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
            SidecarFixture.await("both lists are applied", () -> fixture.discovery.requests.size() == 3);
            assertEquals("other", fixture.sendRequest("order", DEADLINE_MS).body());
            answers.add(SidecarFixture.list(3, true, SidecarFixture.line(0, first, "in_service", 0)));
            SidecarFixture.await(
                    "the list with a lower version is applied", () -> fixture.discovery.requests.size() == 4);
            assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
            assertEquals(
                    List.of("index=1&", "index=7&", "index=7&", "index=3&"),
                    fixture.discovery.requests.stream()
                            .map(request -> request.startLine().replaceAll(".*(index=\\d+&).*", "$1"))
                            .toList());
        }
    }

    /**
     * Guards against an attempt that reaches an endpoint long after it began to drain, because its connection was
     * established late, and against a request that fails although other endpoints could serve it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "left out", "restarted"})
    void attemptWaitingForConnectionIsWithdrawnFromDrainingEndpoint(String change) throws Exception {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint();
                FakeEndpoint other = FakeEndpoint.serving();
                FakeEndpoint again = FakeEndpoint.serving()) {
            fixture = SidecarFixture.withEndpointAt(late.address());
            fixture.connectTimeoutMs = 30_000;
            fixture.pollIntervalMs = 20;
            fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", answers.take());
            fixture.start();
            RawHttpClient client = fixture.client().send(fixture.request("order", DEADLINE_MS));
            fixture.awaitPending(1);
            SidecarFixture.await("a watch is started", () -> fixture.discovery.requests.size() == 1);
            String next = SidecarFixture.line(1, other.address(), "in_service", 0);
            answers.add(
                    switch (change) {
                        case "left out" -> SidecarFixture.list(2, true, next);
                        case "restarted" ->
                            SidecarFixture.list(
                                    2,
                                    false,
                                    next,
                                    SidecarFixture.line(0, again.address(), "in_service", System.currentTimeMillis()));
                        default ->
                            SidecarFixture.list(2, false, next, SidecarFixture.line(0, late.address(), change, 0));
                    });
            assertEquals("served", client.read().body(), "the request was not executed, so another endpoint serves it");
            client.close();
            late.startAccepting();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(List.of(), late.requests);
        }
    }

    /** Guards against a process that serves with the list of its configuration although the agent has a newer one. */
    @Test
    void pushedListIsAppliedBeforeServing() throws Exception {
        List<String> observedStates = Collections.synchronizedList(new ArrayList<>());
        try (FakeEndpoint other = FakeEndpoint.serving()) {
            fixture = new SidecarFixture(FakeEndpoint.serving());
            fixture.membership = "pushed";
            CountDownLatch firstPollSeen = new CountDownLatch(1);
            fixture.discovery.script = (wire, request) -> {
                // A sidecar that does not wait for the agent starts to listen within milliseconds.
                for (int i = 0;
                        i < 100
                                && firstPollSeen.getCount() > 0
                                && !fixture.logged().contains("listening");
                        i++) {
                    Thread.sleep(10);
                }
                if (firstPollSeen.getCount() > 0) {
                    observedStates.add(fixture.logged().contains("listening") ? "listening" : "waits");
                    firstPollSeen.countDown();
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
            assertEquals("waits", observedStates.get(0));
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size());
        }
    }

    /**
     * Guards against a process that serves with the list of its configuration although discovery has a newer one.
     * Serving starts after discovery has sent its list, even if an overloaded discovery rejects the first polls.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void polledListIsAppliedBeforeServing(int rejections) throws Exception {
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
            assertEquals(1, other.requests.size(), "the endpoint of the cached list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
        }
    }

    /**
     * Guards against a poll that has been open for a while (once 2.1 s) being taken as proof of a current list. An
     * overloaded discovery also queues the polls that it rejects, so a rejection may arrive seconds after the poll; in
     * the fault, "serving on" was logged before "poll 1 failed: status 503".
     */
    @Test
    void lateRejectionDoesNotConfirmTheList() throws Exception {
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
            assertEquals(1, other.requests.size(), "the endpoint of the cached list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
        }
    }

    /**
     * Guards against a start that waits although the list is current. The first poll is sent without a wait, so a
     * response without changes arrives at once; the watch is started after it.
     */
    @Test
    void responseWithoutChangesConfirmsTheListAtOnce() throws Exception {
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

    /** Guards against a sidecar that never serves because discovery rejects every poll. */
    @Test
    void startupWaitIsBoundedIfDiscoveryRejectsEveryPoll() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.maxListWaitMs = 1500;
        fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 503, "", "");
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("endpoint list: TIMED_OUT"), fixture.logged());
    }

    /**
     * Guards against a sidecar that never is ready, or answers nobody, because the agent is silent, as it is while
     * discovery is down. Its clients are told in less than half of their time that nothing was forwarded.
     */
    @Test
    void startupWaitIsBoundedIfAgentIsSilent() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.membership = "pushed";
        fixture.start();
        try (RawHttpClient client = fixture.client()) {
            String health = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            assertEquals(200, client.send(health).read().status());
        }
        long sentNanos = System.nanoTime();
        assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(SidecarFixture.elapsedMs(sentNanos) < DEADLINE_MS / 2.0, fixture.logged());
        assertEquals(List.of(), fixture.endpoints.get(0).requests);
        assertTrue(fixture.discovery.requests.size() > 1, "the agent is polled repeatedly");
    }

    /**
     * Guards against a start that stops waiting at the first refused connection, as it may only if lists are polled.
     * The agent's changes count as notified even if it starts after the process: with an agent 2.2 s late, 11 to 20
     * requests went to an endpoint that the agent reported as gone ("DISCOVERY_UNREACHABLE" in the log).
     */
    @ParameterizedTest
    @ValueSource(ints = {1200, 2600})
    void listOfLateAgentIsAppliedBeforeServing(int listensAfterMs) throws Exception {
        // No other process on this machine binds a port at this address in the meantime.
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
                    () -> startAgent(agentAddress, SidecarFixture.list(2, true, drained, ready)),
                    CompletableFuture.delayedExecutor(listensAfterMs, TimeUnit.MILLISECONDS));
            fixture.start();
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(1, other.requests.size(), "the endpoint of the cached list has left");
            assertEquals(0, fixture.endpoints.get(0).requests.size());
            agent.join().close();
        }
    }

    private static FakeEndpoint startAgent(InetSocketAddress address, String list) {
        try {
            return new FakeEndpoint(address, (wire, request) -> FakeEndpoint.answer(wire, 200, "", list));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
