package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** Tests when requests are sent to other zones. */
class LocalityRoutingTest {

    /**
     * Returns how many of 20 requests leave the zone once it takes {@code ownZoneMs} and others {@code otherZoneMs}.
     */
    private static int requestsThatLeaveTheZone(double ownZoneMs, double otherZoneMs) {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 1);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new Endpoint("s" + i, i % 2, 0, 0, 0, EndpointStatus.READY, 1));
        }
        fixture.list(endpoints);
        int leftCount = 0;
        for (int i = 0; i < 120; i++) {
            fixture.nowMs += 200;
            fixture.request(BalancerFixture.IDEMPOTENT);
            RecordingActions.SentAttempt sent = fixture.actions.last();
            boolean inOtherZone = Integer.parseInt(sent.endpointId().substring(1)) % 2 == 1;
            fixture.finish(sent, AttemptOutcome.OK, i < 50 ? 50 : inOtherZone ? otherZoneMs : ownZoneMs);
            leftCount += inOtherZone && i >= 100 ? 1 : 0;
        }
        return leftCount;
    }

    @Test
    void requestsStayInTheirZoneWhileItIsNotSlower() {
        assertEquals(0, requestsThatLeaveTheZone(50, 50));
    }

    @Test
    void requestsLeaveACongestedZone() {
        int leftCount = requestsThatLeaveTheZone(700, 60);
        assertTrue(leftCount >= 15, leftCount + " of 20 requests left the zone");
    }
}
