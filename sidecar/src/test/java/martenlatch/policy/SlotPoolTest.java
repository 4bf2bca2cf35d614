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

/** Ranks of slots, and the order in which calls take them. */
class SlotPoolTest {

    @Test
    void callsTakeTheLowestRankedFreeSlotsInOrder() {
        int balancers = 5;
        int own = 2;
        BalancerFixture f = BalancerFixture.of(balancers, own, 1).list(BalancerFixture.endpoints(4));
        record RankedSlot(String endpointId, double rank) {}
        List<String> inHashOrder = BalancerFixture.endpoints(4).stream()
                .map(Endpoint::id)
                .sorted(Comparator.comparingLong(BalancerFixture::hash))
                .toList();
        List<RankedSlot> expected = new ArrayList<>();
        for (int s = 0; s < 4; s++) {
            double place = balancers * (1 - s / 4.0);
            for (int k = 0; k < 4; k++) {
                expected.add(new RankedSlot(inHashOrder.get(s), k * balancers + (own + place) % balancers));
            }
        }
        expected.sort(Comparator.comparingDouble(RankedSlot::rank));
        for (int i = 0; i < 12; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
            assertEquals(expected.get(i).endpointId(), f.host.last().endpointId(), "call " + i);
        }
    }

    @Test
    void aFreedSlotIsUsedAgainBeforeHigherOnes() {
        BalancerFixture f = BalancerFixture.of(3, 0, 1).list(BalancerFixture.endpoints(5));
        f.request(BalancerFixture.IDEMPOTENT);
        RecordingActions.Sent first = f.host.last();
        f.request(BalancerFixture.IDEMPOTENT);
        f.finish(first, AttemptOutcome.OK, 10);
        f.request(BalancerFixture.IDEMPOTENT);
        assertEquals(first.endpointId(), f.host.last().endpointId());
    }

    @Test
    void theLowestSlotsOfAllBalancersAreSpreadByWeight() {
        Map<String, Integer> firsts = new HashMap<>();
        List<Endpoint> servers = new ArrayList<>(BalancerFixture.endpoints(8));
        servers.set(3, new Endpoint("s3", 0, 0, 0, 0, EndpointStatus.READY, 3));
        for (int own = 0; own < 200; own++) {
            BalancerFixture f = BalancerFixture.of(200, own, 1).list(servers);
            f.request(BalancerFixture.IDEMPOTENT);
            firsts.merge(f.host.last().endpointId(), 1, Integer::sum);
        }
        for (Endpoint server : servers) {
            // Each of the sixteen rings rounds to whole balancers by itself.
            assertEquals(20 * server.weight(), firsts.get(server.id()), 4, server.id());
        }
    }

    /** The first endpoint of each of 200 balancers with this list, once those in {@code without} are full. */
    private static List<String> firstServers(List<Endpoint> servers, Set<String> without) {
        List<String> firsts = new ArrayList<>();
        for (int own = 0; own < 200; own++) {
            BalancerFixture f = BalancerFixture.of(200, own, 1).list(servers);
            for (String id : without) {
                f.request(BalancerFixture.IDEMPOTENT);
                while (f.host.last().endpointId().equals(id)) {
                    f.finish(f.host.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 1);
                }
            }
            f.request(BalancerFixture.IDEMPOTENT);
            firsts.add(f.host.last().endpointId());
        }
        return firsts;
    }

    /** Guards against one neighbour that gets all calls of an endpoint that is full, slow or warming (h68f2a6). */
    @Test
    void callsThatLeaveAnEndpointAreSpreadOverSeveralOthers() {
        List<String> before = firstServers(BalancerFixture.endpoints(8), Set.of());
        List<String> after = firstServers(BalancerFixture.endpoints(8), Set.of("s2"));
        Set<String> next = new HashSet<>();
        for (int own = 0; own < 200; own++) {
            if (before.get(own).equals("s2")) {
                next.add(after.get(own));
            }
        }
        assertTrue(next.size() >= 4, "all went to " + next);
    }

    /** Guards against warming endpoints that send all of their calls to others, or take them all (h68f2a6). */
    @Test
    void aColdEndpointKeepsTheWarmPartOfItsCalls() {
        List<Endpoint> servers = new ArrayList<>(BalancerFixture.endpoints(8));
        servers.set(3, BalancerFixture.endpoint("s3", 0, 1_000_000 - 1, EndpointStatus.READY));
        int cold = Collections.frequency(firstServers(servers, Set.of()), "s3");
        assertTrue(cold >= 5 && cold <= 10, cold + " of 25, at three tenths of its capacity");
    }

    @Test
    void equalRanksGoToTheLowerHash() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(6));
        f.request(BalancerFixture.IDEMPOTENT);
        String lowest = BalancerFixture.endpoints(6).stream()
                .map(Endpoint::id)
                .min(Comparator.comparingLong(BalancerFixture::hash))
                .orElseThrow();
        assertEquals(lowest, f.host.last().endpointId());
    }

    /** Guards against a crowded or slow endpoint that keeps its callers because it is their lowest rank. */
    @Test
    void anEndpointThatAnswersSlowlyGivesUpEvenItsLowestRanks() {
        BalancerFixture f = BalancerFixture.of(50, 0, 1).list(BalancerFixture.endpoints(10));
        f.request(BalancerFixture.IDEMPOTENT);
        String favourite = f.host.last().endpointId();
        int uses = 0;
        for (int i = 0; i < 60; i++) {
            RecordingActions.Sent sent = f.host.last();
            f.now += 100;
            f.finish(sent, AttemptOutcome.OK, sent.endpointId().equals(favourite) ? 700 : 100);
            f.request(BalancerFixture.IDEMPOTENT);
            uses += i >= 30 && f.host.last().endpointId().equals(favourite) ? 1 : 0;
        }
        assertEquals(0, uses, "calls it still got");
    }

    /** Guards against many balancers flooding an endpoint that has just started: one call each is too much. */
    @Test
    void aColdEndpointGetsNoMoreThanTheWarmPartOfItsArc() {
        int balancers = 100;
        int users = 0;
        for (int own = 0; own < balancers; own++) {
            BalancerFixture f = BalancerFixture.of(balancers, own, 1);
            f.list(List.of(
                    BalancerFixture.endpoint("cold", 0, f.now - 100, EndpointStatus.READY),
                    BalancerFixture.endpoint("warm")));
            for (int i = 0; i < 3; i++) {
                f.request(BalancerFixture.IDEMPOTENT);
            }
            users += (int) f.host.sent.stream()
                    .filter(s -> s.endpointId().equals("cold"))
                    .count();
        }
        // Its even part of 100 balancers is 50, the warm part of that 15; rings round by themselves.
        assertTrue(users > 0 && users <= 20, "calls at once " + users);
    }
}
