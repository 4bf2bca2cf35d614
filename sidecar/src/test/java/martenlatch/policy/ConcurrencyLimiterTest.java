package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests how the concurrency limit adapts to latency. */
class ConcurrencyLimiterTest {

    /** Guards against overload of the first tier at the start (incident i5f5502): the pool's size alone is no limit. */
    @Test
    void firstTierStartsWithALowLimit() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        assertEquals(8, fixture.actions.sent.size(), "four requests per endpoint, shared by ten balancers");
        assertEquals(92, fixture.actions.rejected.size());
    }

    /** Guards against lasting overload: responses that use up the latency objective must lower the limit. */
    @Test
    void slowResponsesLowerTheLimitAndFastOnesRaiseIt() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        int fast = inFlightAfter(fixture, 100, 60);
        int slow = inFlightAfter(fixture, 900, 60);
        assertTrue(fast > 16, "grew to " + fast);
        assertTrue(slow < fast / 2, "fell to " + slow);
        assertTrue(inFlightAfter(fixture, 100, 200) > slow, "grows again");
    }

    /** Guards against one hung endpoint that lowers the limit to one or two requests, where it would stay. */
    @Test
    void hungEndpointDoesNotLowerTheLimit() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        int before = inFlightAfter(fixture, 100, 20);
        List<RecordingActions.SentAttempt> hanging = new ArrayList<>();
        int firstOfRound = fixture.actions.sent.size();
        for (int i = 0; i < before; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        List<RecordingActions.SentAttempt> sent =
                List.copyOf(fixture.actions.sent.subList(firstOfRound, fixture.actions.sent.size()));
        fixture.nowMs += 100;
        for (RecordingActions.SentAttempt each : sent) {
            if (each.endpointId().equals(sent.get(0).endpointId())) {
                hanging.add(each);
            } else {
                fixture.finish(each, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hanging.size() >= 3, hanging.size() + " requests hang");
        for (RecordingActions.SentAttempt each : hanging) {
            fixture.nowMs += 990;
            fixture.balancer.onAttemptFinished(
                    fixture.nowMs,
                    new AttemptResult(
                            each.requestId(),
                            each.attempt(),
                            each.endpointId(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int after = inFlightAfter(fixture, 100, 1);
        assertTrue(after > before * 0.8, before + " requests in flight before the hang and " + after + " after");
    }

    /** Guards against a limit that recovers too slowly after a slowdown of all endpoints. */
    @Test
    void loweredLimitRecoversSoon() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(50));
        inFlightAfter(fixture, 100, 20);
        int lowered = inFlightAfter(fixture, 950, 60);
        assertTrue(lowered < 8, "lowered to " + lowered);
        int rounds = 0;
        while (inFlightAfter(fixture, 100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "took " + rounds + " rounds of responses");
    }

    /** Guards against overload that cannot be shed where balancers outnumber the endpoints' capacity (i190c84). */
    @Test
    void limitBelowOneSpacesRequests() {
        BalancerFixture fixture = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        int fast = sentOfTenRequests(fixture, 100);
        sentOfTenRequests(fixture, 900);
        for (int i = 0; i < 30; i++) {
            sentOfTenRequests(fixture, 900);
        }
        int slow = sentOfTenRequests(fixture, 100);
        assertTrue(fast >= 8, fast + " without congestion");
        assertTrue(slow <= 2, slow + " after half a minute of slow responses");
    }

    /** Guards against small limits close to overload, where few responses show it too late (i495c4c, ibf84fc). */
    @Test
    void smallLimitHasALowerCongestionTarget() {
        BalancerFixture small = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            sentOfTenRequests(small, 100);
        }
        int sentCount = 0;
        for (int i = 0; i < 8; i++) {
            sentCount = sentOfTenRequests(small, 260);
        }
        assertTrue(sentCount < 10, sentCount + " of 10 requests sent at a limit of about one");
        BalancerFixture large = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        inFlightAfter(large, 100, 20);
        int before = inFlightAfter(large, 100, 1);
        assertTrue(inFlightAfter(large, 260, 8) >= before, "the same latency does not lower a larger limit");
    }

    /**
     * Sends ten requests one by one; each that is admitted succeeds after {@code durationMs}. Returns how many were
     * sent.
     */
    private static int sentOfTenRequests(BalancerFixture fixture, double durationMs) {
        int before = fixture.actions.sent.size();
        for (int i = 0; i < 10; i++) {
            int sent = fixture.actions.sent.size();
            fixture.request(BalancerFixture.IDEMPOTENT);
            fixture.nowMs += durationMs;
            if (fixture.actions.sent.size() > sent) {
                fixture.finish(fixture.actions.last(), AttemptOutcome.OK, durationMs);
            }
        }
        return fixture.actions.sent.size() - before;
    }

    /** Guards against a cascade of requests that leave congested endpoints and congest the next ones (i495c4c). */
    @Test
    void requestsThatLeaveCongestedEndpointsDoNotCongestAllOthers() {
        BalancerFixture fixture = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            sentOfTenRequests(fixture, 100);
        }
        for (int i = 0; i < 2; i++) {
            fixture.request(BalancerFixture.IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                fixture.finish(fixture.actions.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 1);
            }
        }
        int sent = fixture.actions.sent.size();
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals(sent, fixture.actions.sent.size(), "six endpoints are full: a seventh is not tried");
        fixture.nowMs += 60_000;
        sentOfTenRequests(fixture, 100);
        assertTrue(fixture.actions.sent.size() > sent, "requests are sent again once the endpoints are no longer full");
    }

    /** Guards against many balancers that raise their limits at once: together they add one request per endpoint. */
    @Test
    void limitGrowsByThisBalancersPartOnly() {
        BalancerFixture few = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(10));
        BalancerFixture many = BalancerFixture.of(100, 0, 0).list(BalancerFixture.endpoints(10));
        assertTrue(inFlightAfter(few, 100, 60) > 2 * inFlightAfter(many, 100, 60));
    }

    /** Sends rounds of requests that each take this time; returns how many of the last round were in flight. */
    private static int inFlightAfter(BalancerFixture fixture, double durationMs, int rounds) {
        int inFlight = 0;
        for (int round = 0; round < rounds; round++) {
            int before = fixture.actions.sent.size();
            for (int i = 0; i < 60; i++) {
                fixture.request(BalancerFixture.IDEMPOTENT);
            }
            List<RecordingActions.SentAttempt> sentInRound =
                    List.copyOf(fixture.actions.sent.subList(before, fixture.actions.sent.size()));
            fixture.nowMs += durationMs;
            sentInRound.forEach(sent -> fixture.finish(sent, AttemptOutcome.OK, durationMs));
            inFlight = sentInRound.size();
        }
        return inFlight;
    }
}
