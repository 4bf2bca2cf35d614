package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests when endpoints are ejected and when they recover. */
class OutlierDetectorTest {

    /**
     * Sends this many requests to each of three endpoints; all succeed but the last one at the lowest-ranked endpoint.
     */
    private static RecordingActions.SentAttempt succeedAllButOne(BalancerFixture fixture, int requestsPerEndpoint) {
        fixture.list(BalancerFixture.endpoints(3));
        for (int i = 0; i < 3 * requestsPerEndpoint; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        String lowest = fixture.actions.sent.get(0).endpointId();
        RecordingActions.SentAttempt remaining = fixture.actions.sent.get(3 * requestsPerEndpoint - 3);
        assertEquals(lowest, remaining.endpointId());
        for (RecordingActions.SentAttempt sent : List.copyOf(fixture.actions.sent)) {
            if (!sent.equals(remaining)) {
                fixture.finish(sent, AttemptOutcome.OK, 10);
            }
        }
        return remaining;
    }

    private static void failToConnect(BalancerFixture fixture, RecordingActions.SentAttempt sent) {
        fixture.balancer.onAttemptFinished(
                fixture.nowMs,
                new AttemptResult(
                        sent.requestId(),
                        sent.attempt(),
                        sent.endpointId(),
                        AttemptOutcome.CONNECT_ERROR,
                        200,
                        true,
                        LoadReport.NONE));
    }

    /**
     * Guards against ejecting endpoints for slow or failing handshakes while their connections work (incident i190c84).
     */
    @Test
    void failedConnectLeavesEstablishedConnectionsInUse() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1);
        RecordingActions.SentAttempt remaining = succeedAllButOne(fixture, 2);
        failToConnect(fixture, remaining);
        fixture.request(BalancerFixture.IDEMPOTENT);
        fixture.finish(fixture.actions.last(), AttemptOutcome.OK, 10);
        fixture.nowMs += 1500;
        for (int i = 0; i < 6; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        RecordingActions.SentAttempt again = fixture.actions.last();
        assertEquals(remaining.endpointId(), again.endpointId(), "the slot without a connection comes last");
        failToConnect(fixture, again);
        assertEquals(List.of(), fixture.actions.closedConnections);
        fixture.finish(fixture.actions.sent.get(fixture.actions.sent.size() - 6), AttemptOutcome.OK, 10);
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(
                remaining.endpointId(),
                fixture.actions.last().endpointId(),
                "a request that must not repeat is sent there");
    }

    /** A second failure to connect before any response counts as the endpoint's failure. */
    @Test
    void endpointThatOnlyFailsToConnectIsEjected() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1);
        RecordingActions.SentAttempt remaining = succeedAllButOne(fixture, 3);
        failToConnect(fixture, remaining);
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 4; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        failToConnect(fixture, fixture.actions.last());
        fixture.nowMs += 1500;
        fixture.finish(fixture.actions.sent.get(before), AttemptOutcome.OK, 10);
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        assertTrue(
                !fixture.actions.last().endpointId().equals(remaining.endpointId()), "the endpoint should be ejected");
    }

    @Test
    void failingEndpointIsPausedThenLimitedToOneRequest() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(4));
        String failing = fixture.failTwoRequests(AttemptOutcome.FAILED);
        assertNotEquals(failing, fixture.actions.last().endpointId());
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
            used.add(fixture.actions.last().endpointId());
        }
        assertFalse(used.contains(failing));
        fixture.nowMs += 5000;
        long inFlight = 0;
        for (int i = 0; i < 20; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
            inFlight += fixture.actions.last().endpointId().equals(failing) ? 1 : 0;
        }
        assertTrue(inFlight <= 1, "in flight at once: " + inFlight);
    }

    /** Guards against ejecting endpoints at random where a small share of all responses fails at any endpoint. */
    @Test
    void rareFailuresDoNotEjectTheEndpoint() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(1));
        for (int i = 0; i < 100; i++) {
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
            fixture.finish(fixture.actions.last(), i % 10 == 9 ? AttemptOutcome.RESET : AttemptOutcome.OK, 20);
            fixture.nowMs += 300;
        }
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 5; i++) {
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
        }
        assertEquals(before + 5, fixture.actions.sent.size(), "the endpoint still takes several requests at once");
    }

    /** Guards against a congested tier whose endpoints are ejected one by one until none is left. */
    @Test
    void fullEndpointIsPausedButNotEjected() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        fixture.request(BalancerFixture.IDEMPOTENT);
        String full = fixture.actions.last().endpointId();
        fixture.finish(fixture.actions.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 2);
        assertNotEquals(full, fixture.actions.last().endpointId());
        fixture.nowMs += 300;
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 12; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        long again = fixture.actions.sent.subList(before, fixture.actions.sent.size()).stream()
                .filter(s -> s.endpointId().equals(full))
                .count();
        assertTrue(again >= 3, "only " + again + " requests went to an endpoint that was full before");
    }

    /** Guards against a hung endpoint that recovers without ever sending a response. */
    @Test
    void endpointRecoversOnlyByResponses() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(6));
        String failing = fixture.failTwoRequests(AttemptOutcome.RESET);
        fixture.nowMs += 600;
        for (int i = 0; i < 10; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        List<RecordingActions.SentAttempt> probes = fixture.actions.sent.stream()
                .filter(s -> s.endpointId().equals(failing))
                .toList();
        RecordingActions.SentAttempt probe = probes.get(probes.size() - 1);
        for (int i = 0; i < 8; i++) {
            fixture.finish(probe, i % 2 == 0 ? AttemptOutcome.CANCELED : AttemptOutcome.NOT_EXECUTED, 1);
            fixture.nowMs += 200;
            int before = fixture.actions.sent.size();
            for (int j = 0; j < 8; j++) {
                fixture.request(BalancerFixture.IDEMPOTENT);
            }
            List<RecordingActions.SentAttempt> again =
                    fixture.actions.sent.subList(before, fixture.actions.sent.size()).stream()
                            .filter(s -> s.endpointId().equals(failing))
                            .toList();
            assertTrue(again.size() <= 1, "one request at a time is allowed, but there are " + again.size());
            probe = again.isEmpty() ? probe : again.get(0);
        }
    }

    @Test
    void noEndpointIsEjectedWhileMostFail() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(4));
        for (int i = 0; i < 100; i++) {
            fixture.nowMs += 10;
            fixture.request(BalancerFixture.IDEMPOTENT);
            fixture.finish(fixture.actions.last(), AttemptOutcome.FAILED, 2);
        }
        int before = fixture.actions.sent.size();
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals(before + 1, fixture.actions.sent.size(), "a request is still sent");
    }
}
