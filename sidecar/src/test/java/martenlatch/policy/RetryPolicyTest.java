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

/** Tests which attempts may be retried, and at which endpoints. */
class RetryPolicyTest {

    @Test
    void retriesAreLimitedAndUseOtherEndpoints() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 1).list(BalancerFixture.endpoints(6));
        fixture.request(BalancerFixture.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            fixture.nowMs += 5;
            fixture.finish(fixture.actions.last(), AttemptOutcome.FAILED, 5);
        }
        assertEquals(3, fixture.actions.sent.size());
        assertEquals(
                3,
                new HashSet<>(fixture.actions.sent.stream()
                                .map(RecordingActions.SentAttempt::endpointId)
                                .toList())
                        .size());
        assertEquals(1, fixture.actions.rejected.size());
    }

    @Test
    void retryBudgetLimitsRetriesOfManyRequests() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 1).list(BalancerFixture.endpoints(30));
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            fixture.nowMs += 50;
            String id = fixture.request(BalancerFixture.IDEMPOTENT);
            for (int attempts = 0;
                    attempts < 9
                            && fixture.actions.last().requestId().equals(id)
                            && !fixture.actions.rejected.contains(id);
                    attempts++) {
                fixture.finish(fixture.actions.last(), AttemptOutcome.FAILED, 5);
            }
        }
        assertTrue(fixture.actions.sent.size() <= requests * 1.2 + 11, "sent " + fixture.actions.sent.size());
    }

    @Test
    void nonIdempotentRequestIsNotRetriedOnceItMayHaveExecuted() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        fixture.finish(fixture.actions.last(), AttemptOutcome.RESET, 5);
        assertEquals(1, fixture.actions.sent.size());
        assertEquals(List.of("r0"), fixture.actions.failed);
        assertTrue(fixture.actions.rejected.isEmpty());
    }

    @Test
    void nonIdempotentRequestIsRetriedIfNeverExecuted() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        fixture.finish(fixture.actions.last(), AttemptOutcome.CONNECT_ERROR, 5);
        assertEquals(2, fixture.actions.sent.size());
    }

    @Test
    void requestWithIdempotencyKeyIsRetriedOnlyWithinItsScopeAndWindow() {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            list.add(BalancerFixture.endpoint("s" + i, i % 3, 0, EndpointStatus.READY));
        }
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(list);
        fixture.request(BalancerFixture.IDEMPOTENCY_KEY_BY_CELL);
        int first = fixture.actions.last().endpointId().charAt(1) % 3;
        fixture.finish(fixture.actions.last(), AttemptOutcome.FAILED, 5);
        assertEquals(2, fixture.actions.sent.size());
        assertEquals(first, fixture.actions.last().endpointId().charAt(1) % 3);
        fixture.nowMs += 900;
        fixture.finish(fixture.actions.last(), AttemptOutcome.FAILED, 900);
        assertEquals(2, fixture.actions.sent.size(), "the deduplication window is over");
        assertEquals(
                List.of("r0"),
                fixture.actions.failed,
                "a request with an idempotency key that may have executed is not rejected");
    }

    /** An attempt that a draining endpoint did not execute is retried elsewhere; one at a ready endpoint is not. */
    @Test
    void unexecutedAttemptAtADrainingEndpointIsRetriedElsewhere() {
        for (EndpointStatus status : List.of(EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE)) {
            BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
            fixture.request(BalancerFixture.NON_IDEMPOTENT);
            RecordingActions.SentAttempt first = fixture.actions.last();
            fixture.change(BalancerFixture.endpoint(first.endpointId()).withStatus(status));
            fixture.finish(first, AttemptOutcome.NOT_EXECUTED, 5);
            assertEquals(status == EndpointStatus.READY ? 1 : 2, fixture.actions.sent.size(), status.name());
            assertEquals(
                    status == EndpointStatus.READY,
                    fixture.actions.last().endpointId().equals(first.endpointId()));
        }
    }

    /** Guards against waiting for an answer without value, which ends in a costlier failure after the objective. */
    @Test
    void attemptTimesOutBeforeTheObjectiveWhereLateAnswersHaveNoWeight() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(1));
        fixture.request(BalancerFixture.IDEMPOTENT);
        fixture.nowMs += 200;
        fixture.finish(fixture.actions.last(), AttemptOutcome.REJECTED_QUEUE_FULL, 200);
        for (RecordingActions.SentAttempt sent : fixture.actions.sent) {
            assertTrue(sent.timeoutMs() < 1000, "time-out " + sent.timeoutMs());
        }
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals(3000, fixture.actions.last().timeoutMs(), "late answers have a weight in this class");
    }
}
