package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import martenlatch.sidecar.FakeAgent.Conduct;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that no request is forwarded by a list of which a local agent may know changes. What the agent has counts as
 * notified from the first moment of a new process, and 4 s after SIGHUP; the grace of a drain follows.
 */
@Timeout(60)
class UnconfirmedEndpointListTest {

    /** A restarted process has to be ready within this time. */
    private static final int MAX_START_MS = 10_000;
    /** The changes of an agent count as notified this long after SIGHUP. */
    private static final int NOTIFIED_AFTER_MOVE_MS = 4000;

    private static final int DRAIN_GRACE_MS = 500;
    private static final int CHECK_SLACK_MS = 50;
    private static final int SHORT_DEADLINE_MS = 600;
    private static final int LONG_DEADLINE_MS = 8000;

    /** The times at which requests reached the endpoint that drains. */
    private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();

    private SidecarFixture fixture;
    private FakeEndpoint draining;
    private FakeEndpoint other;
    private FakeAgent agent;

    @BeforeEach
    void prepare() throws IOException {
        draining = new FakeEndpoint((wire, request) -> {
            arrivalNanos.add(System.nanoTime());
            FakeEndpoint.answer(wire, 200, "", "served");
        });
        other = FakeEndpoint.serving();
        agent = new FakeAgent("127.0.0.78");
        fixture = new SidecarFixture(draining, other);
        fixture.membership = "pushed";
        fixture.discoveryAddress = agent.address();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        agent.close();
    }

    private String entry(int endpoint, String state) {
        return SidecarFixture.line(endpoint, fixture.endpoints.get(endpoint).address(), state, 0);
    }

    private void drainFirstAt(FakeAgent informed) {
        informed.setList(2, entry(0, "terminating"), entry(1, "in_service"));
    }

    /**
     * Guards against a start that forwards by the list of its configuration because its agent has said nothing for a
     * while: 32 to 35 requests reached endpoints that drained, and as many more the longer the outage (review/10).
     */
    @ParameterizedTest
    @EnumSource(value = Conduct.class, mode = EnumSource.Mode.EXCLUDE, names = "SOUND")
    void startForwardsNothingBeforeTheAgentAnswers(Conduct outage) throws Exception {
        drainFirstAt(agent);
        agent.behave(outage);
        long startedNanos = System.nanoTime();
        fixture.start();
        assertTrue(SidecarFixture.elapsedMs(startedNanos) < MAX_START_MS, fixture.logged());
        assertEquals(503, fixture.sendRequest("read", SHORT_DEADLINE_MS).status(), "rejected, as none was forwarded");
        CompletableFuture<Integer> waiting = CompletableFuture.supplyAsync(() -> statusOf("order", LONG_DEADLINE_MS));
        fixture.awaitPending(1);
        agent.behave(Conduct.SOUND);
        assertEquals(200, waiting.get(LONG_DEADLINE_MS, TimeUnit.MILLISECONDS), fixture.logged());
        assertEquals(200, fixture.sendRequest("read", LONG_DEADLINE_MS).status());
        assertEquals(List.of(), draining.requests, fixture.logged());
        assertEquals(2, other.requests.size());
        assertTrue(fixture.logged().contains("requests are held back: the agent has not answered since the start"));
        assertTrue(fixture.logged().contains("requests are forwarded again: the endpoint list is confirmed"));
    }

    /**
     * Guards against a process that goes on by the list of its previous agent once the changes of the one that SIGHUP
     * names count as notified: 42 requests reached endpoints that drained in 5 s.
     */
    @ParameterizedTest
    @EnumSource(
            value = Conduct.class,
            names = {"SILENT", "DEAF", "RESETS", "REFUSES", "STOPS_IN_LIST"})
    void moveToAnAgentThatDoesNotAnswerEndsForwarding(Conduct outage) throws Exception {
        try (FakeAgent next = new FakeAgent("127.0.0.79")) {
            agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
            agent.behave(Conduct.SOUND);
            fixture.start();
            drainFirstAt(next);
            next.behave(outage);
            fixture.discoveryAddress = next.address();
            Files.writeString(fixture.configFile, fixture.config());
            long movedNanos = System.nanoTime();
            fixture.sidecar.reload();
            while (SidecarFixture.elapsedMs(movedNanos) < NOTIFIED_AFTER_MOVE_MS - 2 * DRAIN_GRACE_MS) {
                assertEquals(200, statusOf("read", SHORT_DEADLINE_MS), "the list of the previous agent holds yet");
            }
            long notifiedNanos = movedNanos + TimeUnit.MILLISECONDS.toNanos(NOTIFIED_AFTER_MOVE_MS);
            assertForwardingEndsUntilAnswered(next, notifiedNanos);
        }
    }

    /**
     * Guards against a change that the agent gets after its connection to the sidecar has broken, or that it does not
     * tell completely, and that stays unknown because the agent then says nothing.
     */
    @ParameterizedTest
    @EnumSource(
            value = Conduct.class,
            names = {"SILENT", "REJECTS", "REFUSES", "STOPS_AFTER_HEAD", "STOPS_IN_LIST", "TRICKLES"})
    void changeAfterABrokenWatchEndsForwarding(Conduct outage) throws Exception {
        agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
        agent.behave(Conduct.SOUND);
        fixture.start();
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS));
        agent.behave(outage);
        long notifiedNanos = System.nanoTime();
        drainFirstAt(agent);
        agent.resetConnections();
        assertForwardingEndsUntilAnswered(agent, notifiedNanos);
    }

    /**
     * Guards against a change that the agent begins to tell after a silence, and does not tell completely. The silence
     * before it raises no doubt, and the polls in it are answered whether or not there is a change.
     */
    @ParameterizedTest
    @EnumSource(
            value = Conduct.class,
            names = {"STOPS_AFTER_HEAD", "STOPS_IN_LIST", "TRICKLES"})
    void changeThatIsToldInPartAfterASilenceEndsForwarding(Conduct afterSilence) throws Exception {
        agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
        agent.behave(Conduct.SOUND);
        fixture.start();
        agent.behave(Conduct.SILENT);
        SidecarFixture.await("a poll without a wait", () -> fixture.logged().contains("wait 1 ms"));
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS));
        long notifiedNanos = System.nanoTime();
        drainFirstAt(agent);
        agent.behave(afterSilence);
        assertForwardingEndsUntilAnswered(agent, notifiedNanos);
    }

    /** Requests that are held back when a shutdown begins get their final answers before the process ends. */
    @Test
    void requestsThatAreHeldBackAreAnsweredInADrain() throws Exception {
        agent.behave(Conduct.SILENT);
        fixture.start();
        CompletableFuture<Integer> waiting = CompletableFuture.supplyAsync(() -> statusOf("order", LONG_DEADLINE_MS));
        fixture.awaitPending(1);
        fixture.sidecar.drain();
        assertTrue(waiting.get(LONG_DEADLINE_MS, TimeUnit.MILLISECONDS) >= 500, fixture.logged());
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against an outage that ends service in processes that were told everything before it began. */
    @Test
    void agentThatFallsSilentDoesNotEndForwarding() throws Exception {
        agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
        agent.behave(Conduct.SOUND);
        fixture.start();
        agent.behave(Conduct.SILENT);
        long outageNanos = System.nanoTime();
        while (SidecarFixture.elapsedMs(outageNanos) < NOTIFIED_AFTER_MOVE_MS + 2 * DRAIN_GRACE_MS) {
            assertEquals(200, statusOf("read", LONG_DEADLINE_MS), fixture.logged());
        }
        assertFalse(fixture.logged().contains("held back"), fixture.logged());
    }

    /** Guards against an attempt that waits for its connection and is written after forwarding has ended. */
    @Test
    void attemptThatWaitsForAConnectionIsWithdrawn() throws Exception {
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint()) {
            fixture.known = List.of(SidecarFixture.line(0, late.address(), "in_service", 0));
            fixture.connectTimeoutMs = 30_000;
            agent.setList(1, SidecarFixture.line(0, late.address(), "in_service", 0));
            agent.behave(Conduct.SOUND);
            fixture.start();
            CompletableFuture<Integer> waiting =
                    CompletableFuture.supplyAsync(() -> statusOf("order", LONG_DEADLINE_MS));
            fixture.awaitPending(1);
            agent.behave(Conduct.SILENT);
            agent.resetConnections();
            assertEquals(503, waiting.get(LONG_DEADLINE_MS, TimeUnit.MILLISECONDS), "it was not executed");
            late.startAccepting();
            agent.behave(Conduct.SOUND);
            assertEquals(200, statusOf("order", LONG_DEADLINE_MS), fixture.logged());
            assertEquals(1, late.requests.size());
        }
    }

    /** Guards against an attempt for a client that left while its request was held back. */
    @Test
    void requestOfAClientThatLeavesIsNotForwarded() throws Exception {
        agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
        agent.behave(Conduct.SILENT);
        fixture.start();
        RawHttpClient client = fixture.client().send(fixture.request("order", LONG_DEADLINE_MS));
        fixture.awaitPending(1);
        client.close();
        SidecarFixture.await("the request ends", () -> fixture.tableSizes().get(0) == 0);
        agent.behave(Conduct.SOUND);
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS));
        assertEquals(1, draining.requests.size() + other.requests.size());
    }

    /** Guards against requests that wait for their deadline although the list has come and names no ready endpoint. */
    @Test
    void requestsThatWaitAreAnsweredAtOnceIfAllEndpointsDrain() throws Exception {
        agent.setList(2, entry(0, "terminating"), entry(1, "terminating"));
        agent.behave(Conduct.SILENT);
        fixture.start();
        CompletableFuture<Integer> waiting = CompletableFuture.supplyAsync(() -> statusOf("order", LONG_DEADLINE_MS));
        fixture.awaitPending(1);
        agent.behave(Conduct.SOUND);
        SidecarFixture.await("the list arrives", () -> fixture.logged().contains("version 2, "));
        SidecarFixture.await("the request ends", () -> fixture.tableSizes().get(0) == 0);
        assertEquals(503, waiting.get(LONG_DEADLINE_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, draining.requests.size() + other.requests.size());
    }

    /** A new configuration may name another way to lists: pushed ones are in doubt, polled ones are not. */
    @Test
    void settingsMayChangeFromPolledToPushedListsAndBack() throws Exception {
        fixture.membership = "on_request";
        agent.behave(Conduct.SILENT);
        fixture.start();
        drainFirstAt(agent);
        fixture.membership = "pushed";
        Files.writeString(fixture.configFile, fixture.config());
        long movedNanos = System.nanoTime();
        fixture.sidecar.reload();
        long notifiedNanos = movedNanos + TimeUnit.MILLISECONDS.toNanos(NOTIFIED_AFTER_MOVE_MS);
        sendUntil(notifiedNanos + TimeUnit.MILLISECONDS.toNanos(2 * DRAIN_GRACE_MS));
        assertEquals(503, statusOf("read", SHORT_DEADLINE_MS), fixture.logged());
        assertNoneArrivedAfterGrace(notifiedNanos);
        fixture.membership = "on_request";
        Files.writeString(fixture.configFile, fixture.config());
        fixture.sidecar.reload();
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS), fixture.logged());
    }

    /** The way out beside an agent that stays dead is an operator's decision, which ends with the next list. */
    @Test
    void operatorMayTrustAListThatIsNotConfirmed() throws Exception {
        agent.setList(1, entry(0, "in_service"), entry(1, "in_service"));
        fixture.adminAddress = "127.0.0.1:0";
        fixture.start();
        assertEquals(503, statusOf("read", SHORT_DEADLINE_MS));
        assertEquals(200, fixture.callAdminApi("GET /ready", "").status(), "ready tells nothing of the list");
        String blind = fixture.callAdminApi("GET /list", "").body();
        assertTrue(blind.startsWith("{\"confirmed\":false,\"forwarding\":false,\"trusted\":false,"), blind);
        assertTrue(blind.contains("\"age_ms\":null,\"doubt\":\"the agent has not answered since the start\""), blind);
        assertEquals(405, fixture.callAdminApi("GET /list/trust", "").status());
        String trusted = fixture.callAdminApi("POST /list/trust", "").body();
        assertTrue(trusted.startsWith("{\"confirmed\":false,\"forwarding\":true,\"trusted\":true,"), trusted);
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS));
        agent.behave(Conduct.SOUND);
        SidecarFixture.await("the list is confirmed", () -> isListConfirmed());
        agent.behave(Conduct.SILENT);
        agent.resetConnections();
        SidecarFixture.await("the decision has ended", () -> statusOf("read", SHORT_DEADLINE_MS) == 503);
    }

    private boolean isListConfirmed() {
        try {
            return fixture.callAdminApi("GET /list", "")
                    .body()
                    .startsWith("{\"confirmed\":true,\"forwarding\":true,\"trusted\":false,");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private int statusOf(String requestClass, int deadlineMs) {
        try {
            return fixture.sendRequest(requestClass, deadlineMs).status();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends one request after the other; each gets an answer. */
    private void sendUntil(long endNanos) {
        while (System.nanoTime() < endNanos) {
            int status = statusOf("read", SHORT_DEADLINE_MS);
            assertTrue(status == 200 || status == 503, "status " + status);
        }
    }

    /** Asserts that forwarding ends with the grace after a notification, and goes on once the agent answers. */
    private void assertForwardingEndsUntilAnswered(FakeAgent silent, long notifiedNanos) throws IOException {
        sendUntil(notifiedNanos + TimeUnit.MILLISECONDS.toNanos(3 * DRAIN_GRACE_MS));
        assertEquals(503, statusOf("read", SHORT_DEADLINE_MS));
        silent.behave(Conduct.SOUND);
        assertEquals(200, statusOf("read", LONG_DEADLINE_MS), fixture.logged());
        assertNoneArrivedAfterGrace(notifiedNanos);
    }

    private void assertNoneArrivedAfterGrace(long notifiedNanos) {
        long latestNanos = notifiedNanos + TimeUnit.MILLISECONDS.toNanos(DRAIN_GRACE_MS + CHECK_SLACK_MS);
        List<Double> lateMs = arrivalNanos.stream()
                .filter(nanos -> nanos > latestNanos)
                .map(nanos -> (nanos - notifiedNanos) / 1e6)
                .toList();
        assertEquals(List.of(), lateMs, fixture.logged());
    }
}
