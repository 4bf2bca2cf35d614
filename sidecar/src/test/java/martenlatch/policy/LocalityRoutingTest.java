package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** When calls leave their own zone. */
class LocalityRoutingTest {

    /** How many of 20 calls leave the zone once its answers take {@code nearMs} and others' {@code farMs}. */
    private static int callsThatLeaveTheZone(double nearMs, double farMs) {
        BalancerFixture f = BalancerFixture.of(2, 0, 1);
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new Endpoint("s" + i, i % 2, 0, 0, 0, EndpointStatus.READY, 1));
        }
        f.list(servers);
        int left = 0;
        for (int i = 0; i < 120; i++) {
            f.now += 200;
            f.request(BalancerFixture.IDEMPOTENT);
            RecordingActions.Sent sent = f.host.last();
            boolean far = Integer.parseInt(sent.endpointId().substring(1)) % 2 == 1;
            f.finish(sent, AttemptOutcome.OK, i < 50 ? 50 : far ? farMs : nearMs);
            left += far && i >= 100 ? 1 : 0;
        }
        return left;
    }

    @Test
    void callsStayInTheirZoneWhileItIsNotWorseThanOthers() {
        assertEquals(0, callsThatLeaveTheZone(50, 50));
    }

    @Test
    void callsLeaveAZoneThatIsCrowdedWhileOthersAreNot() {
        int left = callsThatLeaveTheZone(700, 60);
        assertTrue(left >= 15, left + " of 20 left the zone");
    }
}
