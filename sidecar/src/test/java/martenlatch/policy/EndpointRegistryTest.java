package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** Tests endpoint lists, endpoints that operators disable, and endpoints that are replaced by a new process. */
class EndpointRegistryTest {

    /** Guards against requests to an endpoint that operators have disabled, whatever discovery lists meanwhile. */
    @Test
    void disabledEndpointGetsNoRequestsUntilEnabled() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of("s0", "unheard-of"));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                fixture.request(BalancerFixture.IDEMPOTENT);
                assertEquals("s1", fixture.actions.last().endpointId());
                fixture.finish(fixture.actions.last(), AttemptOutcome.OK, 10);
            }
            fixture.nowMs += 100;
            if (round == 0) {
                fixture.list(BalancerFixture.endpoints(2));
            } else {
                fixture.change(BalancerFixture.endpoint("s0", 0, fixture.nowMs, EndpointStatus.READY));
            }
        }
        fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of());
        fixture.nowMs += 20_000;
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
            used.add(fixture.actions.last().endpointId());
        }
        assertEquals(Set.of("s0", "s1"), used);
    }

    /** Guards against an endpoint that is disabled for repair and is still ejected when it is enabled again. */
    @Test
    void enabledEndpointStartsWithoutStatistics() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        String ejected = fixture.failTwoRequests(AttemptOutcome.CONNECT_ERROR);
        fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of(ejected));
        fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of());
        fixture.nowMs += 1;
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
            used.add(fixture.actions.last().endpointId());
        }
        assertTrue(used.contains(ejected), used + " but not " + ejected);
    }

    /**
     * Guards against an endpoint that gets no requests after it is enabled again: with few requests in flight, slots of
     * an endpoint in slow start are used last. The balancers' first requests are spread so as not to overload it.
     */
    @Test
    void everyBalancerSoonUsesAnEnabledEndpointInSlowStart() {
        int balancerCount = 6;
        int used = 0;
        double firstUseMs = Double.POSITIVE_INFINITY;
        double last = 0;
        for (int ownIndex = 0; ownIndex < balancerCount; ownIndex++) {
            BalancerFixture fixture = new BalancerFixture(
                            BalancerFixture.settings(balancerCount, ownIndex, 1, true), 7 + ownIndex)
                    .list(BalancerFixture.endpoints(6));
            fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of("s2"));
            fixture.change(BalancerFixture.endpoint("s2", 0, fixture.nowMs, EndpointStatus.READY));
            fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of());
            double enabledAtMs = fixture.nowMs;
            for (int i = 0; i < 100; i++) {
                fixture.nowMs += 50;
                fixture.request(i % 2 == 0 ? BalancerFixture.IDEMPOTENT : BalancerFixture.NON_IDEMPOTENT);
                RecordingActions.SentAttempt sent = fixture.actions.last();
                if (sent.endpointId().equals("s2")) {
                    used++;
                    firstUseMs = Math.min(firstUseMs, fixture.nowMs - enabledAtMs);
                    last = Math.max(last, fixture.nowMs - enabledAtMs);
                    break;
                }
                fixture.finish(sent, AttemptOutcome.OK, 20);
            }
        }
        assertEquals(balancerCount, used, "every balancer uses it within 5 s");
        assertTrue(last - firstUseMs > 500, "the first requests are spread: " + firstUseMs + " to " + last);
    }

    /**
     * Guards against an endpoint that discovery removes while it is disabled, and that is never removed from the table.
     */
    @Test
    void disabledEndpointThatIsGoneIsRemoved() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        fixture.balancer.onEndpointsDisabled(fixture.nowMs, Set.of("s0"));
        fixture.change(BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.GONE));
        assertEquals(1, fixture.balancer.knownEndpoints());
        fixture.change(BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.READY));
        fixture.change(BalancerFixture.endpoint("s1", 0, 0, EndpointStatus.GONE));
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals(0, fixture.actions.sent.size(), "it is still disabled");
    }

    @Test
    void drainingOrGoneEndpointGetsNoRequests() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        fixture.request(BalancerFixture.IDEMPOTENT);
        fixture.change(
                BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.DRAINING),
                BalancerFixture.endpoint("s1", 0, 0, EndpointStatus.GONE));
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 50; i++) {
            fixture.nowMs += 20;
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        assertTrue(fixture.actions.sent.stream()
                .skip(before)
                .allMatch(s -> s.endpointId().equals("s2")));
    }

    @Test
    void endpointMissingFromAFullListIsGone() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        fixture.list(List.of(BalancerFixture.endpoint("s1")));
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals("s1", fixture.actions.last().endpointId());
    }

    /** Guards against ejecting a new process for failed attempts at its predecessor under the same id. */
    @Test
    void newProcessUnderAKnownIdStartsWithoutStatistics() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        for (int i = 0; i < 12; i++) {
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
        }
        List<RecordingActions.SentAttempt> attemptsAtFormerProcess = fixture.actions.sent.stream()
                .filter(sent -> sent.endpointId().equals("s0"))
                .toList();
        assertTrue(
                attemptsAtFormerProcess.size() > 2,
                "attempts at the former process: " + attemptsAtFormerProcess.size());
        fixture.change(BalancerFixture.endpoint("s0", 0, fixture.nowMs - 60_000, EndpointStatus.READY));
        attemptsAtFormerProcess.forEach(sent -> fixture.finish(sent, AttemptOutcome.RESET, 5));
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 12; i++) {
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
        }
        long inFlight = fixture.actions.sent.stream()
                .skip(before)
                .filter(sent -> sent.endpointId().equals("s0"))
                .count();
        assertTrue(inFlight > 1, "it should be neither on probation nor paused, but takes " + inFlight);
    }

    /** Guards against a memory leak when endpoints come and go, even with attempts still in flight. */
    @Test
    void goneEndpointsAreRemovedFromMemory() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0);
        for (int i = 0; i < 5000; i++) {
            fixture.change(BalancerFixture.endpoint("s" + i, 0, fixture.nowMs, EndpointStatus.READY));
            fixture.request(BalancerFixture.IDEMPOTENT);
            fixture.change(BalancerFixture.endpoint("s" + i, 0, fixture.nowMs, EndpointStatus.GONE));
            while (fixture.balancer.pendingRequests() > 0) {
                fixture.finish(fixture.actions.last(), AttemptOutcome.RESET, 1);
            }
            fixture.nowMs += 50;
        }
        assertEquals(0, fixture.balancer.knownEndpoints());
        assertEquals(0, fixture.balancer.pendingRequests());
    }
}
