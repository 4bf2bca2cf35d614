package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** Tests the ranks of slots and the order in which requests take them. */
class SlotPoolTest {

    @Test
    void requestsTakeTheLowestRankedFreeSlots() {
        int balancerCount = 5;
        int ownIndex = 2;
        BalancerFixture fixture = BalancerFixture.of(balancerCount, ownIndex, 1).list(BalancerFixture.endpoints(4));
        record RankedSlot(String endpointId, double rank) {}
        List<String> inHashOrder = BalancerFixture.endpoints(4).stream()
                .map(Endpoint::id)
                .sorted(Comparator.comparingLong(BalancerFixture::hash))
                .toList();
        List<RankedSlot> expected = new ArrayList<>();
        for (int s = 0; s < 4; s++) {
            double ringPosition = balancerCount * (1 - s / 4.0);
            for (int slotIndex = 0; slotIndex < 4; slotIndex++) {
                expected.add(new RankedSlot(
                        inHashOrder.get(s), slotIndex * balancerCount + (ownIndex + ringPosition) % balancerCount));
            }
        }
        expected.sort(Comparator.comparingDouble(RankedSlot::rank));
        for (int i = 0; i < 12; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
            assertEquals(expected.get(i).endpointId(), fixture.actions.last().endpointId(), "request " + i);
        }
    }

    @Test
    void freedSlotIsUsedBeforeHigherRankedSlots() {
        BalancerFixture fixture = BalancerFixture.of(3, 0, 1).list(BalancerFixture.endpoints(5));
        fixture.request(BalancerFixture.IDEMPOTENT);
        RecordingActions.SentAttempt first = fixture.actions.last();
        fixture.request(BalancerFixture.IDEMPOTENT);
        fixture.finish(first, AttemptOutcome.OK, 10);
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals(first.endpointId(), fixture.actions.last().endpointId());
    }

    @Test
    void lowestSlotsOfAllBalancersAreSpreadByWeight() {
        Map<String, Integer> firstEndpointCounts = new HashMap<>();
        List<Endpoint> endpoints = new ArrayList<>(BalancerFixture.endpoints(8));
        endpoints.set(3, new Endpoint("s3", 0, 0, 0, 0, EndpointStatus.READY, 3));
        for (int ownIndex = 0; ownIndex < 200; ownIndex++) {
            BalancerFixture fixture = BalancerFixture.of(200, ownIndex, 1).list(endpoints);
            fixture.request(BalancerFixture.IDEMPOTENT);
            firstEndpointCounts.merge(fixture.actions.last().endpointId(), 1, Integer::sum);
        }
        for (Endpoint endpoint : endpoints) {
            // Each of the 16 rings rounds to whole balancers separately.
            assertEquals(20 * endpoint.weight(), firstEndpointCounts.get(endpoint.id()), 4, endpoint.id());
        }
    }

    /** Returns the first endpoint of each of 200 balancers with this list, once those in {@code full} are full. */
    private static List<String> firstEndpoints(List<Endpoint> endpoints, Set<String> full) {
        List<String> firstIds = new ArrayList<>();
        for (int ownIndex = 0; ownIndex < 200; ownIndex++) {
            BalancerFixture fixture = BalancerFixture.of(200, ownIndex, 1).list(endpoints);
            for (String id : full) {
                fixture.request(BalancerFixture.IDEMPOTENT);
                while (fixture.actions.last().endpointId().equals(id)) {
                    fixture.finish(fixture.actions.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 1);
                }
            }
            fixture.request(BalancerFixture.IDEMPOTENT);
            firstIds.add(fixture.actions.last().endpointId());
        }
        return firstIds;
    }

    /** Guards against one endpoint that gets all requests of another that is full, slow or in slow start (h68f2a6). */
    @Test
    void requestsThatLeaveAnEndpointAreSpreadOverSeveralOthers() {
        List<String> before = firstEndpoints(BalancerFixture.endpoints(8), Set.of());
        List<String> after = firstEndpoints(BalancerFixture.endpoints(8), Set.of("s2"));
        Set<String> newFirstEndpoints = new HashSet<>();
        for (int ownIndex = 0; ownIndex < 200; ownIndex++) {
            if (before.get(ownIndex).equals("s2")) {
                newFirstEndpoints.add(after.get(ownIndex));
            }
        }
        assertTrue(newFirstEndpoints.size() >= 4, "all went to " + newFirstEndpoints);
    }

    /** Guards against an endpoint in slow start that loses all of its requests to others, or none (h68f2a6). */
    @Test
    void endpointInSlowStartKeepsAShareOfItsRequests() {
        List<Endpoint> endpoints = new ArrayList<>(BalancerFixture.endpoints(8));
        endpoints.set(3, BalancerFixture.endpoint("s3", 0, 1_000_000 - 1, EndpointStatus.READY));
        int cold = Collections.frequency(firstEndpoints(endpoints, Set.of()), "s3");
        assertTrue(cold >= 5 && cold <= 10, cold + " of 25 balancers use it first, at 0.3 of its capacity");
    }

    @Test
    void lowerHashComesFirstAtEqualRank() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(6));
        fixture.request(BalancerFixture.IDEMPOTENT);
        String lowest = BalancerFixture.endpoints(6).stream()
                .map(Endpoint::id)
                .min(Comparator.comparingLong(BalancerFixture::hash))
                .orElseThrow();
        assertEquals(lowest, fixture.actions.last().endpointId());
    }

    /** Guards against a congested or slow endpoint that balancers keep using because its rank is their lowest. */
    @Test
    void slowEndpointLosesEvenItsLowestRankedSlots() {
        BalancerFixture fixture = BalancerFixture.of(50, 0, 1).list(BalancerFixture.endpoints(10));
        fixture.request(BalancerFixture.IDEMPOTENT);
        String slowEndpoint = fixture.actions.last().endpointId();
        int uses = 0;
        for (int i = 0; i < 60; i++) {
            RecordingActions.SentAttempt sent = fixture.actions.last();
            fixture.nowMs += 100;
            fixture.finish(sent, AttemptOutcome.OK, sent.endpointId().equals(slowEndpoint) ? 700 : 100);
            fixture.request(BalancerFixture.IDEMPOTENT);
            uses += i >= 30 && fixture.actions.last().endpointId().equals(slowEndpoint) ? 1 : 0;
        }
        assertEquals(0, uses, "requests that the slow endpoint still got");
    }

    /** Guards against many balancers that overload an endpoint in slow start with one request each. */
    @Test
    void endpointInSlowStartGetsNoMoreThanItsShareOfTheRing() {
        int balancerCount = 100;
        int users = 0;
        for (int ownIndex = 0; ownIndex < balancerCount; ownIndex++) {
            BalancerFixture fixture = BalancerFixture.of(balancerCount, ownIndex, 1);
            fixture.list(List.of(
                    BalancerFixture.endpoint("cold", 0, fixture.nowMs - 100, EndpointStatus.READY),
                    BalancerFixture.endpoint("warm")));
            for (int i = 0; i < 3; i++) {
                fixture.request(BalancerFixture.IDEMPOTENT);
            }
            users += (int) fixture.actions.sent.stream()
                    .filter(s -> s.endpointId().equals("cold"))
                    .count();
        }
        // Its even share of 100 balancers is 50, and 0.3 of that is 15; each ring rounds separately.
        assertTrue(users > 0 && users <= 20, "requests in flight at the cold endpoint: " + users);
    }
}
