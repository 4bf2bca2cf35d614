package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** Endpoint lists, endpoints disabled by operators, and endpoints that are replaced. */
class EndpointRegistryTest {

    /** Guards against work for an endpoint disabled by operators, whatever discovery says meanwhile. */
    @Test
    void aDisabledEndpointGetsNothingUntilItIsPutBack() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        f.balancer.onEndpointsDisabled(f.now, Set.of("s0", "unheard-of"));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                f.request(BalancerFixture.IDEMPOTENT);
                assertEquals("s1", f.host.last().endpointId());
                f.finish(f.host.last(), AttemptOutcome.OK, 10);
            }
            f.now += 100;
            if (round == 0) {
                f.list(BalancerFixture.endpoints(2));
            } else {
                f.change(BalancerFixture.endpoint("s0", 0, f.now, EndpointStatus.READY));
            }
        }
        f.balancer.onEndpointsDisabled(f.now, Set.of());
        f.now += 20_000;
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
            used.add(f.host.last().endpointId());
        }
        assertEquals(Set.of("s0", "s1"), used);
    }

    /** Guards against one that is disabled to be repaired and comes back with the old verdict on it. */
    @Test
    void anEndpointThatIsPutBackIsAsGoodAsNew() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        String bad = f.failTwice(AttemptOutcome.CONNECT_ERROR);
        f.balancer.onEndpointsDisabled(f.now, Set.of(bad));
        f.balancer.onEndpointsDisabled(f.now, Set.of());
        f.now += 1;
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            f.request(BalancerFixture.NON_IDEMPOTENT);
            used.add(f.host.last().endpointId());
        }
        assertTrue(used.contains(bad), used + " but not " + bad);
    }

    /**
     * Guards against one that is enabled again and finds no calls: where balancers have few, those of a cold
     * endpoint come last. Each balancer's first call there is spread over a time that all of them can do.
     */
    @Test
    void aColdEndpointThatIsPutBackIsUsedByEachBalancerSoon() {
        int balancers = 6;
        int used = 0;
        double first = Double.POSITIVE_INFINITY;
        double last = 0;
        for (int own = 0; own < balancers; own++) {
            BalancerFixture f = new BalancerFixture(BalancerFixture.settings(balancers, own, 1, true), 7 + own)
                    .list(BalancerFixture.endpoints(6));
            f.balancer.onEndpointsDisabled(f.now, Set.of("s2"));
            f.change(BalancerFixture.endpoint("s2", 0, f.now, EndpointStatus.READY));
            f.balancer.onEndpointsDisabled(f.now, Set.of());
            double began = f.now;
            for (int i = 0; i < 100; i++) {
                f.now += 50;
                f.request(i % 2 == 0 ? BalancerFixture.IDEMPOTENT : BalancerFixture.NON_IDEMPOTENT);
                RecordingActions.Sent sent = f.host.last();
                if (sent.endpointId().equals("s2")) {
                    used++;
                    first = Math.min(first, f.now - began);
                    last = Math.max(last, f.now - began);
                    break;
                }
                f.finish(sent, AttemptOutcome.OK, 20);
            }
        }
        assertEquals(balancers, used, "each within 5 s");
        assertTrue(last - first > 500, "and not all at once: " + first + " to " + last);
    }

    /**
     * Guards against an endpoint that discovery takes away while it is out, and that stays in the table for
     * good.
     */
    @Test
    void aDisabledEndpointThatIsGoneIsForgotten() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        f.balancer.onEndpointsDisabled(f.now, Set.of("s0"));
        f.change(BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.GONE));
        assertEquals(1, f.balancer.knownEndpoints());
        f.change(BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.READY));
        f.change(BalancerFixture.endpoint("s1", 0, 0, EndpointStatus.GONE));
        f.request(BalancerFixture.IDEMPOTENT);
        assertEquals(0, f.host.sent.size(), "it is out still");
    }

    @Test
    void nothingIsSentToADrainingOrGoneEndpoint() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        f.request(BalancerFixture.IDEMPOTENT);
        f.change(
                BalancerFixture.endpoint("s0", 0, 0, EndpointStatus.DRAINING),
                BalancerFixture.endpoint("s1", 0, 0, EndpointStatus.GONE));
        int before = f.host.sent.size();
        for (int i = 0; i < 50; i++) {
            f.now += 20;
            f.request(BalancerFixture.IDEMPOTENT);
        }
        assertTrue(
                f.host.sent.stream().skip(before).allMatch(s -> s.endpointId().equals("s2")));
    }

    @Test
    void anEndpointMissingFromAFullListIsGone() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        f.list(List.of(BalancerFixture.endpoint("s1")));
        f.request(BalancerFixture.IDEMPOTENT);
        assertEquals("s1", f.host.last().endpointId());
    }

    /** Guards against a new process held to account for its forerunner's calls, which end with that one. */
    @Test
    void aNewProcessUnderAnOldIdStartsWithACleanSheet() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        for (int i = 0; i < 12; i++) {
            f.request(BalancerFixture.NON_IDEMPOTENT);
        }
        List<RecordingActions.Sent> old = f.host.sent.stream()
                .filter(sent -> sent.endpointId().equals("s0"))
                .toList();
        assertTrue(old.size() > 2, "calls to the former process: " + old.size());
        f.change(BalancerFixture.endpoint("s0", 0, f.now - 60_000, EndpointStatus.READY));
        old.forEach(sent -> f.finish(sent, AttemptOutcome.RESET, 5));
        int before = f.host.sent.size();
        for (int i = 0; i < 12; i++) {
            f.request(BalancerFixture.NON_IDEMPOTENT);
        }
        long atOnce = f.host.sent.stream()
                .skip(before)
                .filter(sent -> sent.endpointId().equals("s0"))
                .count();
        assertTrue(atOnce > 1, "it is neither on trial nor paused, but takes " + atOnce);
    }

    /** Guards against memory that grows with each endpoint that comes and goes, also with calls still out. */
    @Test
    void nothingIsKeptOfEndpointsThatAreGone() {
        BalancerFixture f = BalancerFixture.of(2, 0, 0);
        for (int i = 0; i < 5000; i++) {
            f.change(BalancerFixture.endpoint("s" + i, 0, f.now, EndpointStatus.READY));
            f.request(BalancerFixture.IDEMPOTENT);
            f.change(BalancerFixture.endpoint("s" + i, 0, f.now, EndpointStatus.GONE));
            while (f.balancer.pendingRequests() > 0) {
                f.finish(f.host.last(), AttemptOutcome.RESET, 1);
            }
            f.now += 50;
        }
        assertEquals(0, f.balancer.knownEndpoints());
        assertEquals(0, f.balancer.pendingRequests());
    }
}
