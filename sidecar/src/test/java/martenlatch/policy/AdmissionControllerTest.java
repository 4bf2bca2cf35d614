package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Tenant;
import org.junit.jupiter.api.Test;

/** Which calls are admitted. */
class AdmissionControllerTest {

    @Test
    void aFullPoolRejectsCallsAndKeepsNoQueue() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(8));
        for (int i = 0; i < 300; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(256, f.host.sent.size());
        assertEquals(44, f.host.refused.size());
        f.finish(f.host.sent.get(0), AttemptOutcome.OK, 10);
        assertEquals(256, f.host.sent.size(), "a refused call must not be sent later");
    }

    @Test
    void noEndpointsMeansARejection() {
        BalancerFixture f = BalancerFixture.of(1, 0, 0).list(List.of());
        f.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(List.of("r0"), f.host.refused);
    }

    /** Guards against refusing work that other endpoints have already sunk time into. */
    @Test
    void lowerTiersDoNotShed() {
        BalancerFixture f = BalancerFixture.of(10, 0, 1).list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(100, f.host.sent.size());
    }

    /** Guards against a tenant's flood: what is beyond its allowance gives way first. */
    @Test
    void trafficBeyondATenantsShareGivesWayFirst() {
        BalancerFixture f = new BalancerFixture(
                BalancerFixture.settings(10, 0, 0, true, new Tenant("flood", 10, 0.1), new Tenant("calm", 1000, 0.9)));
        f.list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 50; i++) {
            f.request(BalancerFixture.IDEMPOTENT, 0);
        }
        int flooded = f.host.sent.size();
        for (int i = 0; i < 50; i++) {
            f.request(BalancerFixture.IDEMPOTENT, 1);
        }
        assertTrue(flooded < f.host.sent.size(), "room is left for the tenant within its share");
        assertEquals(8, f.host.sent.size());
    }

    /** Guards against a flood that takes a small limit's only slot whenever it falls free (h430bb6). */
    @Test
    void aFloodDoesNotTakeASmallLimitsLastSlot() {
        BalancerFixture f = new BalancerFixture(
                BalancerFixture.settings(10, 0, 0, true, new Tenant("flood", 0, 0.1), new Tenant("calm", 1000, 0.9)));
        f.list(BalancerFixture.endpoints(4));
        f.request(BalancerFixture.IDEMPOTENT, 0);
        f.now += 10;
        for (int i = 0; i < 20; i++) {
            f.request(BalancerFixture.IDEMPOTENT, 0);
        }
        assertTrue(f.host.sent.size() <= 1, "the flood got " + f.host.sent.size());
        f.request(BalancerFixture.IDEMPOTENT, 1);
        assertEquals("r21", f.host.last().requestId());
        f.request(BalancerFixture.IDEMPOTENT, 1);
        assertEquals(
                List.of("r22"),
                f.host.refused.subList(f.host.refused.size() - 1, f.host.refused.size()),
                "the limit is full");
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.now += 500;
        int before = f.host.sent.size();
        f.request(BalancerFixture.IDEMPOTENT, 0);
        assertEquals(before, f.host.sent.size(), "a call within its share was turned away just now");
    }
}
