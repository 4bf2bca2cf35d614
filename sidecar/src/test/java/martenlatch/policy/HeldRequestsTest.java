package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.ForwardingMode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what happens to requests while none may be forwarded. */
class HeldRequestsTest {

    private static final long HELD_TIMER = 2;
    /** The time that a client of the fixture waits. */
    private static final double CLIENT_WAITS_MS = 3000;

    private BalancerFixture fixture;

    @BeforeEach
    void startWithoutForwarding() {
        fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.HOLD);
    }

    private double lastTimerMs() {
        return fixture.actions.timers.get(fixture.actions.timers.size() - 1);
    }

    @Test
    void requestsAreForwardedInTheirOrderOnceTheyMayBe() {
        List<String> ids = List.of(fixture.request(0), fixture.request(0), fixture.request(1));
        assertEquals(List.of(), fixture.actions.sent);
        fixture.nowMs += 100;
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        assertEquals(
                ids,
                fixture.actions.sent.stream()
                        .map(RecordingActions.SentAttempt::requestId)
                        .toList());
        assertEquals(List.of(), fixture.actions.rejected);
    }

    /** Guards against a rejection after more than half of the client's time, which counts as late. */
    @Test
    void requestIsRejectedInLessThanHalfOfItsTime() {
        String id = fixture.request(BalancerFixture.NON_IDEMPOTENT);
        assertTrue(lastTimerMs() > 0 && lastTimerMs() < CLIENT_WAITS_MS / 2, "waits " + lastTimerMs());
        fixture.nowMs += lastTimerMs();
        fixture.balancer.onTimer(fixture.nowMs, HELD_TIMER);
        assertEquals(List.of(id), fixture.actions.rejected);
        assertEquals(0, fixture.balancer.pendingRequests());
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        assertEquals(List.of(), fixture.actions.sent, "it has its final answer");
    }

    @Test
    void requestIsRejectedOnlyWhenItsOwnTimeIsOver() {
        String first = fixture.request(0);
        double firstWaitsMs = lastTimerMs();
        fixture.nowMs += firstWaitsMs / 2;
        String second = fixture.request(0);
        fixture.nowMs += firstWaitsMs / 2;
        fixture.balancer.onTimer(fixture.nowMs, HELD_TIMER);
        assertEquals(List.of(first), fixture.actions.rejected);
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        assertEquals(second, fixture.actions.last().requestId());
    }

    /** Guards against an attempt for a client that has gone. */
    @Test
    void requestOfDisconnectedClientIsDropped() {
        String id = fixture.request(0);
        fixture.balancer.onClientDisconnected(fixture.nowMs, id);
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        assertEquals(List.of(), fixture.actions.sent);
        assertEquals(0, fixture.balancer.pendingRequests());
    }

    /** Requests that wait when the list arrives are answered at once if all of their endpoints drain. */
    @Test
    void requestIsRejectedAtOnceIfAllEndpointsDrain() {
        String id = fixture.request(0);
        for (Endpoint endpoint : BalancerFixture.endpoints(4)) {
            fixture.change(endpoint.withStatus(EndpointStatus.DRAINING));
        }
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        assertEquals(List.of(), fixture.actions.sent);
        assertEquals(List.of(id), fixture.actions.rejected);
    }

    /** Guards against a retry by a list that may lack changes; the request is answered at once instead. */
    @Test
    void attemptThatFailsIsNotRetried() {
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.FORWARD);
        String rejected = fixture.request(BalancerFixture.IDEMPOTENT);
        RecordingActions.SentAttempt first = fixture.actions.last();
        String failed = fixture.request(BalancerFixture.NON_IDEMPOTENT);
        RecordingActions.SentAttempt second = fixture.actions.last();
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.HOLD);
        fixture.finish(first, AttemptOutcome.CONNECT_ERROR, 1);
        fixture.finish(second, AttemptOutcome.RESET, 1);
        assertEquals(2, fixture.actions.sent.size());
        assertEquals(List.of(rejected), fixture.actions.rejected);
        assertEquals(List.of(failed), fixture.actions.failed, "it may have been executed");
    }

    /** A host that needs a decision at once has none of its requests held. */
    @Test
    void requestIsRejectedAtOnceIfItMayNotWait() {
        fixture.balancer.onForwardingChanged(fixture.nowMs, ForwardingMode.REJECT);
        String id = fixture.request(0);
        assertEquals(List.of(id), fixture.actions.rejected);
        assertEquals(0, fixture.balancer.pendingRequests());
    }
}
