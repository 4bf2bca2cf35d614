package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Tenant;
import org.junit.jupiter.api.Test;

/** Tests which requests are admitted. */
class AdmissionControllerTest {

    @Test
    void fullPoolRejectsRequestsWithoutQueueing() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(8));
        for (int i = 0; i < 300; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(256, fixture.actions.sent.size());
        assertEquals(44, fixture.actions.rejected.size());
        fixture.finish(fixture.actions.sent.get(0), AttemptOutcome.OK, 10);
        assertEquals(256, fixture.actions.sent.size(), "a rejected request must not be sent later");
    }

    @Test
    void requestWithoutEndpointsIsRejected() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 0).list(List.of());
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(List.of("r0"), fixture.actions.rejected);
    }

    /**
     * Guards against rejecting requests in a lower tier, which would waste the work that the tiers before have done.
     */
    @Test
    void lowerTierDoesNotShedLoad() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 1).list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(100, fixture.actions.sent.size());
    }

    /** Guards against one tenant's flood: requests over its quota must leave room for tenants within theirs. */
    @Test
    void requestsOverQuotaAreRejectedFirst() {
        BalancerFixture fixture = new BalancerFixture(
                BalancerFixture.settings(10, 0, 0, true, new Tenant("flood", 10, 0.1), new Tenant("calm", 1000, 0.9)));
        fixture.list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 50; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT, 0);
        }
        int sentOverQuota = fixture.actions.sent.size();
        for (int i = 0; i < 50; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT, 1);
        }
        assertTrue(sentOverQuota < fixture.actions.sent.size(), "room is left for the tenant within its quota");
        assertEquals(8, fixture.actions.sent.size());
    }

    /** Guards against a flood over quota that takes the only slot of a small limit whenever it is free (h430bb6). */
    @Test
    void floodOverQuotaDoesNotTakeTheOnlySlotOfASmallLimit() {
        BalancerFixture fixture = new BalancerFixture(
                BalancerFixture.settings(10, 0, 0, true, new Tenant("flood", 0, 0.1), new Tenant("calm", 1000, 0.9)));
        fixture.list(BalancerFixture.endpoints(4));
        fixture.request(BalancerFixture.IDEMPOTENT, 0);
        fixture.nowMs += 10;
        for (int i = 0; i < 20; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT, 0);
        }
        assertTrue(fixture.actions.sent.size() <= 1, "the flood got " + fixture.actions.sent.size());
        fixture.request(BalancerFixture.IDEMPOTENT, 1);
        assertEquals("r21", fixture.actions.last().requestId());
        fixture.request(BalancerFixture.IDEMPOTENT, 1);
        assertEquals(
                List.of("r22"),
                fixture.actions.rejected.subList(fixture.actions.rejected.size() - 1, fixture.actions.rejected.size()),
                "the limit is full");
        fixture.finish(fixture.actions.last(), AttemptOutcome.OK, 10);
        fixture.nowMs += 500;
        int sentBefore = fixture.actions.sent.size();
        fixture.request(BalancerFixture.IDEMPOTENT, 0);
        assertEquals(sentBefore, fixture.actions.sent.size(), "a request within its quota was rejected just before");
    }
}
