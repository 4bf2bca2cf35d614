package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** How the concurrency limit follows what answers take. */
class ConcurrencyLimiterTest {

    /** Guards against the first tier's jam (incident i5f5502): the ceiling alone bounds nothing. */
    @Test
    void theFirstTierStartsCarefully() {
        BalancerFixture f = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(8, f.host.sent.size(), "four calls a server over ten balancers");
        assertEquals(92, f.host.refused.size());
    }

    /** Guards against a jam that stays: answers that eat the latency objective must bring the limit down. */
    @Test
    void slowAnswersLowerTheLimitAndQuickOnesRaiseIt() {
        BalancerFixture f = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        int quick = atOnceAfter(f, 100, 60);
        int slow = atOnceAfter(f, 900, 60);
        assertTrue(quick > 16, "grew to " + quick);
        assertTrue(slow < quick / 2, "fell to " + slow);
        assertTrue(atOnceAfter(f, 100, 200) > slow, "grows again");
    }

    /** Guards against a limit that one hung endpoint takes down to a call or two, where it would stay. */
    @Test
    void aHungEndpointIsNotTakenForCrowding() {
        BalancerFixture f = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        int before = atOnceAfter(f, 100, 20);
        List<RecordingActions.Sent> hung = new ArrayList<>();
        int from = f.host.sent.size();
        for (int i = 0; i < before; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
        }
        List<RecordingActions.Sent> sent = List.copyOf(f.host.sent.subList(from, f.host.sent.size()));
        f.now += 100;
        for (RecordingActions.Sent each : sent) {
            if (each.endpointId().equals(sent.get(0).endpointId())) {
                hung.add(each);
            } else {
                f.finish(each, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hung.size() >= 3, hung.size() + " calls hang");
        for (RecordingActions.Sent each : hung) {
            f.now += 990;
            f.balancer.onAttemptFinished(
                    f.now,
                    new AttemptResult(
                            each.requestId(),
                            each.attempt(),
                            each.endpointId(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int after = atOnceAfter(f, 100, 1);
        assertTrue(after > before * 0.8, before + " calls at once before the hang and " + after + " after");
    }

    /** Guards against a limit that creeps back after a shared slowdown is over (addis fresh day). */
    @Test
    void aLimitThatWasCutLowIsSoonBack() {
        BalancerFixture f = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(50));
        atOnceAfter(f, 100, 20);
        int low = atOnceAfter(f, 950, 60);
        assertTrue(low < 8, "cut to " + low);
        int rounds = 0;
        while (atOnceAfter(f, 100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "took " + rounds + " rounds of answers");
    }

    /** Guards against overload that cannot be shed where balancers outnumber what endpoints hold (i190c84). */
    @Test
    void aLimitBelowOneCallIsAPace() {
        BalancerFixture f = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        int quick = callsTakenInASecond(f, 100);
        callsTakenInASecond(f, 900);
        for (int i = 0; i < 30; i++) {
            callsTakenInASecond(f, 900);
        }
        int slow = callsTakenInASecond(f, 100);
        assertTrue(quick >= 8, quick + " while all is well");
        assertTrue(slow <= 2, slow + " after half a minute of slow answers");
    }

    /** Guards against small limits that stay at the edge: few answers tell too late (i495c4c, ibf84fc). */
    @Test
    void aSmallLimitKeepsFurtherFromTheEdge() {
        BalancerFixture small = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            callsTakenInASecond(small, 100);
        }
        int taken = 0;
        for (int i = 0; i < 8; i++) {
            taken = callsTakenInASecond(small, 260);
        }
        assertTrue(taken < 10, taken + " of 10 taken at one call at once");
        BalancerFixture large = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        atOnceAfter(large, 100, 20);
        int before = atOnceAfter(large, 100, 1);
        assertTrue(atOnceAfter(large, 260, 8) >= before, "the same answers leave a larger limit alone");
    }

    /** A call comes every 100 ms; each that is taken is answered in the time given before the next comes. */
    private static int callsTakenInASecond(BalancerFixture f, double tookMs) {
        int before = f.host.sent.size();
        for (int i = 0; i < 10; i++) {
            int sent = f.host.sent.size();
            f.request(BalancerFixture.IDEMPOTENT);
            f.now += tookMs;
            if (f.host.sent.size() > sent) {
                f.finish(f.host.last(), AttemptOutcome.OK, tookMs);
            }
        }
        return f.host.sent.size() - before;
    }

    /** Guards against calls that leave crowded endpoints and crowd the next ones in turn (i495c4c). */
    @Test
    void callsThatLeaveCrowdedEndpointsDoNotCrowdAllOthers() {
        BalancerFixture f = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            callsTakenInASecond(f, 100);
        }
        for (int i = 0; i < 2; i++) {
            f.request(BalancerFixture.IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                f.finish(f.host.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 1);
            }
        }
        int sent = f.host.sent.size();
        f.request(BalancerFixture.IDEMPOTENT);
        assertEquals(sent, f.host.sent.size(), "six servers are full: a seventh is not tried");
        f.now += 60_000;
        callsTakenInASecond(f, 100);
        assertTrue(f.host.sent.size() > sent, "and all is well again once they are not");
    }

    /** Guards against many balancers that grow at once: together they add one call an endpoint and round. */
    @Test
    void theLimitGrowsByThisBalancersPartOnly() {
        BalancerFixture few = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(10));
        BalancerFixture many = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        assertTrue(atOnceAfter(few, 100, 60) > 2 * atOnceAfter(many, 100, 60));
    }

    private static int atOnceAfter(BalancerFixture f, double tookMs, int rounds) {
        int atOnce = 0;
        for (int round = 0; round < rounds; round++) {
            int before = f.host.sent.size();
            for (int i = 0; i < 60; i++) {
                f.request(BalancerFixture.IDEMPOTENT);
            }
            List<RecordingActions.Sent> out = List.copyOf(f.host.sent.subList(before, f.host.sent.size()));
            f.now += tookMs;
            out.forEach(sent -> f.finish(sent, AttemptOutcome.OK, tookMs));
            atOnce = out.size();
        }
        return atOnce;
    }
}
