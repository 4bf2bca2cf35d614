package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests settings, polls, reports, and that each request gets exactly one final answer. */
class LoadBalancerTest {
    private static final List<AttemptOutcome> OUTCOMES = List.of(AttemptOutcome.values());

    /**
     * Guards against new settings that change the rules of pending requests, or old settings that still apply to new
     * ones.
     */
    @Test
    void newSettingsApplyToNewRequestsOnly() {
        BalancerSettings before = BalancerFixture.settings(1, 0, 1, true);
        BalancerFixture fixture = new BalancerFixture(before).list(BalancerFixture.endpoints(4));
        fixture.request(BalancerFixture.IDEMPOTENT);
        RecordingActions.SentAttempt oldRead = fixture.actions.last();
        fixture.request(BalancerFixture.NON_IDEMPOTENT);
        RecordingActions.SentAttempt oldOrder = fixture.actions.last();
        // Removes the first class, makes the second repeatable, adds a class, and lowers the limit to two attempts.
        List<RequestClass> classes = List.of(
                new RequestClass("order", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "print", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        fixture.balancer.onSettingsChanged(
                fixture.nowMs,
                new BalancerSettings(
                        1,
                        0,
                        0,
                        1,
                        false,
                        true,
                        0.1,
                        0,
                        classes,
                        List.of(),
                        new AttemptLimits(2, true, true, 2000, 200),
                        before.rules()));
        fixture.request(0);
        RecordingActions.SentAttempt newOrder = fixture.actions.last();
        fixture.request(1);
        RecordingActions.SentAttempt newPrint = fixture.actions.last();
        assertEquals(4, fixture.actions.sent.size());

        fixture.finish(oldRead, AttemptOutcome.RESET, 5);
        assertEquals(
                oldRead.requestId(), fixture.actions.last().requestId(), "repeatable by the settings at its arrival");
        fixture.finish(fixture.actions.last(), AttemptOutcome.RESET, 5);
        assertEquals(2, fixture.actions.last().attempt(), "three attempts by the settings at its arrival");
        fixture.finish(oldOrder, AttemptOutcome.RESET, 5);
        assertEquals(
                List.of(oldOrder.requestId()), fixture.actions.failed, "not repeatable by the settings at its arrival");
        fixture.finish(newPrint, AttemptOutcome.RESET, 5);
        assertEquals(List.of(oldOrder.requestId(), newPrint.requestId()), fixture.actions.failed);
        fixture.nowMs += 1;
        fixture.finish(newOrder, AttemptOutcome.RESET, 5);
        assertEquals(1, fixture.actions.last().attempt());
        assertEquals(newOrder.requestId(), fixture.actions.last().requestId(), "repeatable by the new settings");
        fixture.finish(fixture.actions.last(), AttemptOutcome.RESET, 5);
        assertEquals(1, fixture.actions.rejected.size(), "two attempts at most by the new settings");
    }

    @Test
    void disconnectedRequestGetsNoAnswerAndNoRetry() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(4));
        String id = fixture.request(BalancerFixture.IDEMPOTENT);
        RecordingActions.SentAttempt sent = fixture.actions.last();
        fixture.balancer.onClientDisconnected(fixture.nowMs, id);
        fixture.finish(sent, AttemptOutcome.CANCELED, 5);
        fixture.finish(sent, AttemptOutcome.FAILED, 6);
        assertEquals(1, fixture.actions.sent.size());
        assertTrue(fixture.actions.rejected.isEmpty() && fixture.actions.failed.isEmpty());
        assertEquals(List.of("r0#0"), fixture.actions.cancelled);
    }

    @Test
    void eventsForUnknownRequestsAndTimersAreIgnored() {
        BalancerFixture fixture = BalancerFixture.of(2, 0, 0).list(BalancerFixture.endpoints(2));
        fixture.balancer.onClientDisconnected(fixture.nowMs, "nobody");
        fixture.finish(new RecordingActions.SentAttempt("nobody", 0, "s0", 1), AttemptOutcome.OK, 1);
        fixture.balancer.onStreamStarted(fixture.nowMs, "nobody", 0);
        fixture.balancer.onTimer(fixture.nowMs, 99);
        assertTrue(fixture.actions.sent.isEmpty() && fixture.actions.rejected.isEmpty());
    }

    @Test
    void failedPollLeavesTheEndpointListInUse() {
        BalancerFixture fixture = BalancerFixture.of(1, 0, 1).list(BalancerFixture.endpoints(2));
        fixture.balancer.onEndpointList(fixture.nowMs, EndpointListKind.FAILED, List.of());
        fixture.request(BalancerFixture.IDEMPOTENT);
        assertEquals(1, fixture.actions.sent.size());
        assertEquals(1, fixture.actions.timers.size(), "the next poll is scheduled");
    }

    @Test
    void overloadIsReportedAtIntervals() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(20));
        for (int i = 0; i < 300; i++) {
            fixture.nowMs += 100;
            fixture.request(BalancerFixture.IDEMPOTENT);
        }
        assertTrue(
                fixture.actions.reports.size() >= 2 && fixture.actions.reports.size() <= 4,
                "lines " + fixture.actions.reports.size());
        String last = fixture.actions.reports.get(fixture.actions.reports.size() - 1);
        assertTrue(last.contains("requests rejected at a concurrency limit of 8"), last);
    }

    @Test
    void equalEventsResultInEqualActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            BalancerFixture fixture = BalancerFixture.of(7, 3, 0).list(BalancerFixture.endpoints(12));
            java.util.Random random = new java.util.Random(5);
            for (int i = 0; i < 500; i++) {
                fixture.nowMs += random.nextInt(30);
                fixture.request(random.nextInt(3));
                if (!fixture.actions.sent.isEmpty() && random.nextBoolean()) {
                    RecordingActions.SentAttempt sent =
                            fixture.actions.sent.get(random.nextInt(fixture.actions.sent.size()));
                    fixture.finish(sent, OUTCOMES.get(random.nextInt(6)), random.nextInt(900));
                }
            }
            runs.add(fixture.actions.all);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
