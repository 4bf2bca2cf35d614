package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** Which attempts may be followed by another one, and where. */
class RetryPolicyTest {

    @Test
    void retriesAreBoundedAndGoToOtherEndpoints() {
        BalancerFixture f = BalancerFixture.of(2, 0, 1).list(BalancerFixture.endpoints(6));
        f.request(BalancerFixture.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            f.now += 5;
            f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        }
        assertEquals(3, f.host.sent.size());
        assertEquals(
                3,
                new HashSet<>(f.host.sent.stream()
                                .map(RecordingActions.Sent::endpointId)
                                .toList())
                        .size());
        assertEquals(1, f.host.refused.size());
    }

    @Test
    void retriesOfManyCallsAreBoundedTogether() {
        BalancerFixture f = BalancerFixture.of(2, 0, 1).list(BalancerFixture.endpoints(30));
        int calls = 200;
        for (int i = 0; i < calls; i++) {
            f.now += 50;
            String id = f.request(BalancerFixture.IDEMPOTENT);
            for (int tries = 0;
                    tries < 9 && f.host.last().requestId().equals(id) && !f.host.refused.contains(id);
                    tries++) {
                f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
            }
        }
        assertTrue(f.host.sent.size() <= calls * 1.2 + 11, "sent " + f.host.sent.size());
    }

    @Test
    void aCallThatMustNotRunTwiceIsNotRetriedOnceItMayHaveRun() {
        BalancerFixture f = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        f.request(BalancerFixture.NON_IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.RESET, 5);
        assertEquals(1, f.host.sent.size());
        assertEquals(List.of("r0"), f.host.failed);
        assertTrue(f.host.refused.isEmpty());
    }

    @Test
    void aCallThatMustNotRunTwiceIsRetriedWhenItNeverRan() {
        BalancerFixture f = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        f.request(BalancerFixture.NON_IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.CONNECT_ERROR, 5);
        assertEquals(2, f.host.sent.size());
    }

    @Test
    void aKeyedCallIsRepeatedOnlyInsideItsGroupAndWindow() {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            list.add(BalancerFixture.endpoint("s" + i, i % 3, 0, EndpointStatus.READY));
        }
        BalancerFixture f = BalancerFixture.of(2, 0, 0).list(list);
        f.request(BalancerFixture.KEYED_BY_CELL);
        int first = f.host.last().endpointId().charAt(1) % 3;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        assertEquals(2, f.host.sent.size());
        assertEquals(first, f.host.last().endpointId().charAt(1) % 3);
        f.now += 900;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 900);
        assertEquals(2, f.host.sent.size(), "the window is over");
        assertEquals(List.of("r0"), f.host.failed, "a keyed call that may have run is not refused");
    }

    /** An attempt withdrawn as its endpoint drains never ran and goes elsewhere; one that expired does not. */
    @Test
    void whatWasWithdrawnFromADrainingEndpointGoesElsewhere() {
        for (EndpointStatus state : List.of(EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE)) {
            BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
            f.request(BalancerFixture.NON_IDEMPOTENT);
            RecordingActions.Sent first = f.host.last();
            f.change(BalancerFixture.endpoint(first.endpointId()).withStatus(state));
            f.finish(first, AttemptOutcome.NOT_EXECUTED, 5);
            assertEquals(state == EndpointStatus.READY ? 1 : 2, f.host.sent.size(), state.name());
            assertEquals(
                    state == EndpointStatus.READY, f.host.last().endpointId().equals(first.endpointId()));
        }
    }

    /** Guards against time spent on answers worth nothing, and the dearer failure after the latency objective. */
    @Test
    void anAttemptEndsBeforeTheAimWhereLateIsWorthNothing() {
        BalancerFixture f = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(1));
        f.request(BalancerFixture.IDEMPOTENT);
        f.now += 200;
        f.finish(f.host.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 200);
        for (RecordingActions.Sent sent : f.host.sent) {
            assertTrue(sent.timeoutMs() < 1000, "time-out " + sent.timeoutMs());
        }
        f.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(3000, f.host.last().timeoutMs(), "late is worth something to this class");
    }
}
