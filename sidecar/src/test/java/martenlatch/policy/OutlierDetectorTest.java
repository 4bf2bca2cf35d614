package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** When endpoints are ejected, and when they recover. */
class OutlierDetectorTest {

    /** So many calls on each of three endpoints: all are answered but the last on the lowest-ranked one. */
    private static RecordingActions.Sent allAnsweredButOne(BalancerFixture f, int each) {
        f.list(BalancerFixture.endpoints(3));
        for (int i = 0; i < 3 * each; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        String lowest = f.host.sent.get(0).endpointId();
        RecordingActions.Sent left = f.host.sent.get(3 * each - 3);
        assertEquals(lowest, left.endpointId());
        for (RecordingActions.Sent sent : List.copyOf(f.host.sent)) {
            if (!sent.equals(left)) {
                f.finish(sent, AttemptOutcome.OK, 10);
            }
        }
        return left;
    }

    private static void connectFails(BalancerFixture f, RecordingActions.Sent sent) {
        f.balancer.onAttemptFinished(
                f.now,
                new AttemptResult(
                        sent.requestId(),
                        sent.attempt(),
                        sent.endpointId(),
                        AttemptOutcome.CONNECT_ERROR,
                        200,
                        true,
                        LoadReport.NONE));
    }

    /** Guards against slow or failing handshakes taken for dead endpoints (incident i190c84). */
    @Test
    void failedConnectsLeaveStandingConnectionsInUse() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1);
        RecordingActions.Sent left = allAnsweredButOne(f, 2);
        connectFails(f, left);
        f.request(BalancerFixture.IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.now += 1500;
        for (int i = 0; i < 6; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        RecordingActions.Sent again = f.host.last();
        assertEquals(left.endpointId(), again.endpointId(), "the slot without a connection comes last");
        connectFails(f, again);
        assertEquals(List.of(), f.host.disconnected);
        f.finish(f.host.sent.get(f.host.sent.size() - 6), AttemptOutcome.OK, 10);
        f.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(left.endpointId(), f.host.last().endpointId(), "a call that must not run twice goes there");
    }

    /** A connect that fails again before anything was answered speaks against the endpoint after all. */
    @Test
    void anEndpointThatOnlyFailsConnectsIsEjected() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1);
        RecordingActions.Sent left = allAnsweredButOne(f, 3);
        connectFails(f, left);
        int before = f.host.sent.size();
        for (int i = 0; i < 4; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        connectFails(f, f.host.last());
        f.now += 1500;
        f.finish(f.host.sent.get(before), AttemptOutcome.OK, 10);
        f.request(BalancerFixture.NON_IDEMPOTENT);
        assertTrue(!f.host.last().endpointId().equals(left.endpointId()), "not trusted any more");
    }

    @Test
    void aFailingEndpointIsPausedAndLetBackOneCallAtATime() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(4));
        String bad = f.failTwice(AttemptOutcome.FAILED);
        assertNotEquals(bad, f.host.last().endpointId());
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
            used.add(f.host.last().endpointId());
        }
        assertFalse(used.contains(bad));
        f.now += 5000;
        long atOnce = 0;
        for (int i = 0; i < 20; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
            atOnce += f.host.last().endpointId().equals(bad) ? 1 : 0;
        }
        assertTrue(atOnce <= 1, "at once " + atOnce);
    }

    /** Guards against ejection by chance, where a few of all answers are spoilt whichever endpoint gives them. */
    @Test
    void anOddFailureAmongManyAnswersEjectsNoEndpoint() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(1));
        for (int i = 0; i < 100; i++) {
            f.request(BalancerFixture.NON_IDEMPOTENT);
            f.finish(f.host.last(), i % 10 == 9 ? AttemptOutcome.RESET : AttemptOutcome.OK, 20);
            f.now += 300;
        }
        int before = f.host.sent.size();
        for (int i = 0; i < 5; i++) {
            f.request(BalancerFixture.NON_IDEMPOTENT);
        }
        assertEquals(before + 5, f.host.sent.size(), "it takes several calls at once");
    }

    /** Guards against a crowded tier whose endpoints are ejected one by one until none is left. */
    @Test
    void aFullEndpointIsPausedButNotTreatedAsSick() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(3));
        f.request(BalancerFixture.IDEMPOTENT);
        String full = f.host.last().endpointId();
        f.finish(f.host.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 2);
        assertNotEquals(full, f.host.last().endpointId());
        f.now += 300;
        int before = f.host.sent.size();
        for (int i = 0; i < 12; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        long again = f.host.sent.subList(before, f.host.sent.size()).stream()
                .filter(s -> s.endpointId().equals(full))
                .count();
        assertTrue(again >= 3, "only " + again + " calls went to a server that was full a while ago");
    }

    /** Guards against a hung endpoint that clears its record without ever answering. */
    @Test
    void onlyAnswersLetAnEndpointRecover() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(6));
        String bad = f.failTwice(AttemptOutcome.RESET);
        f.now += 600;
        for (int i = 0; i < 10; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        List<RecordingActions.Sent> trials =
                f.host.sent.stream().filter(s -> s.endpointId().equals(bad)).toList();
        RecordingActions.Sent trial = trials.get(trials.size() - 1);
        for (int i = 0; i < 8; i++) {
            f.finish(trial, i % 2 == 0 ? AttemptOutcome.CANCELED : AttemptOutcome.NOT_EXECUTED, 1);
            f.now += 200;
            int before = f.host.sent.size();
            for (int j = 0; j < 8; j++) {
                f.request(BalancerFixture.IDEMPOTENT);
            }
            List<RecordingActions.Sent> again = f.host.sent.subList(before, f.host.sent.size()).stream()
                    .filter(s -> s.endpointId().equals(bad))
                    .toList();
            assertTrue(again.size() <= 1, "still one call at a time, but " + again.size());
            trial = again.isEmpty() ? trial : again.get(0);
        }
    }

    @Test
    void whenMostEndpointsFailNoneIsGivenUp() {
        BalancerFixture f = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(4));
        for (int i = 0; i < 100; i++) {
            f.now += 10;
            f.request(BalancerFixture.IDEMPOTENT);
            f.finish(f.host.last(), AttemptOutcome.FAILED, 2);
        }
        int before = f.host.sent.size();
        f.request(BalancerFixture.IDEMPOTENT);
        assertEquals(before + 1, f.host.sent.size(), "something is still tried");
    }
}
