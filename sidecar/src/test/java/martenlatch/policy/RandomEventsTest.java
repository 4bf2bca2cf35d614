package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.OverloadReport;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the balancer with random events and a host that checks the rules independently of the balancer's state. */
class RandomEventsTest {
    private static final List<AttemptOutcome> OUTCOMES = List.of(AttemptOutcome.values());
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());

    /** A request as seen by the host. */
    private static final class TrackedRequest {
        final int classIndex;
        final double deadlineMs;
        final List<String> endpointIds = new ArrayList<>();
        final List<Double> sentAtMs = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        boolean answered;

        TrackedRequest(int classIndex, double deadlineMs) {
            this.classIndex = classIndex;
            this.deadlineMs = deadlineMs;
        }

        /** Returns the first attempt that is in flight or may have executed; -1 if there is none. */
        int firstPossiblyExecuted() {
            for (int i = 0; i < outcomes.size(); i++) {
                if (outcomes.get(i) == null || !outcomes.get(i).neverExecuted()) {
                    return i;
                }
            }
            return -1;
        }

        int attemptsInFlight() {
            return (int) outcomes.stream().filter(outcome -> outcome == null).count();
        }
    }

    /** Checks every action when the balancer requests it. */
    private static final class RuleChecker implements BalancerActions {
        final BalancerSettings settings;
        final Map<String, TrackedRequest> trackedRequests = new HashMap<>();
        final Map<String, Endpoint> listedEndpoints = new HashMap<>();
        final List<Double> timersDueMs = new ArrayList<>();
        final List<Long> timerNames = new ArrayList<>();
        double nowMs;
        int attemptsInFlight;

        RuleChecker(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void forward(String requestId, String endpointId, double timeoutMs) {
            TrackedRequest request = trackedRequests.get(requestId);
            RequestClass requestClass = settings.classes().get(request.classIndex);
            assertFalse(request.answered, "sent after its final answer: " + requestId);
            assertEquals(
                    EndpointStatus.READY,
                    listedEndpoints.get(endpointId).status(),
                    "sent to an endpoint that is not ready");
            assertTrue(timeoutMs <= request.deadlineMs - nowMs + 1e-6, "the time-out is after the client's deadline");
            assertTrue(request.outcomes.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    settings.limits().hedging() || request.attemptsInFlight() == 0,
                    "two attempts in flight without hedging");
            int first = request.firstPossiblyExecuted();
            if (first >= 0) {
                assertTrue(
                        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "a non-idempotent request that may have executed was retried");
                if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                    assertEquals(
                            listedEndpoints.get(request.endpointIds.get(first)).cell(),
                            listedEndpoints.get(endpointId).cell(),
                            "retry outside the deduplication scope");
                    assertTrue(
                            nowMs - request.sentAtMs.get(first) < requestClass.deduplicationWindowMs(),
                            "retry after the deduplication window");
                }
            }
            request.endpointIds.add(endpointId);
            request.sentAtMs.add(nowMs);
            request.outcomes.add(null);
            attemptsInFlight++;
            assertTrue(attemptsInFlight <= 256, "more attempts in flight than the pool may hold");
        }

        @Override
        public void reject(String requestId, double retryAfterMs) {
            TrackedRequest request = trackedRequests.get(requestId);
            assertTrue(
                    settings.classes().get(request.classIndex).idempotency() == Idempotency.IDEMPOTENT
                            || request.firstPossiblyExecuted() < 0,
                    "rejected though it may have executed");
            markAnswered(request);
        }

        @Override
        public void fail(String requestId) {
            markAnswered(trackedRequests.get(requestId));
        }

        private void markAnswered(TrackedRequest request) {
            assertFalse(request.answered, "two final answers");
            assertTrue(nowMs <= request.deadlineMs, "answered after the deadline");
            request.answered = true;
        }

        @Override
        public void cancelAttempt(String requestId, int attempt) {
            assertTrue(
                    attempt < trackedRequests.get(requestId).outcomes.size(),
                    "cancelled an attempt that was never sent");
        }

        @Override
        public void scheduleTimer(double delayMs, long name) {
            timersDueMs.add(nowMs + delayMs);
            timerNames.add(name);
        }

        @Override
        public void closeIdleConnections(String endpointId) {
            assertTrue(listedEndpoints.containsKey(endpointId));
        }

        @Override
        public void pollEndpointList() {}

        @Override
        public void report(OverloadReport report) {}
    }

    private static BalancerSettings settings(Random random) {
        return BalancerFixture.settings(
                1 + random.nextInt(40),
                0,
                random.nextInt(2),
                random.nextBoolean(),
                new Tenant("a", 20, 0.5),
                new Tenant("b", 5, 0.5));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldUnderRandomEvents(int seed) {
        Random random = new Random(seed);
        BalancerSettings settings = settings(random);
        RuleChecker checker = new RuleChecker(settings);
        checker.nowMs = 10_000;
        LoadBalancer balancer = new LoadBalancer(settings, seed, checker);
        List<String> openIds = new ArrayList<>();
        int requestCount = 0;
        for (int step = 0; step < 4000; step++) {
            checker.nowMs += random.nextInt(12);
            fireTimers(checker, balancer);
            timeOutOverdueAttempts(checker, balancer, openIds);
            int choice = random.nextInt(20);
            if (choice == 0 || step == 0) {
                changeList(checker, balancer, random, step == 0);
            } else if (choice < 9 && step < 3500) {
                String id = "q" + requestCount++;
                int classIndex = random.nextInt(settings.classes().size());
                double remainingMs = 1 + random.nextInt(3000);
                checker.trackedRequests.put(id, new TrackedRequest(classIndex, checker.nowMs + remainingMs));
                openIds.add(id);
                balancer.onRequest(
                        checker.nowMs,
                        new Request(
                                id,
                                classIndex,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                checker.nowMs + remainingMs,
                                false));
            } else if (choice < 10 && !openIds.isEmpty()) {
                String id = openIds.get(random.nextInt(openIds.size()));
                checker.trackedRequests.get(id).answered = true;
                balancer.onClientDisconnected(checker.nowMs, id);
            } else if (!openIds.isEmpty()) {
                String id = openIds.get(random.nextInt(openIds.size()));
                finishAttempt(checker, balancer, id, OUTCOMES.get(random.nextInt(8)));
            }
            openIds.removeIf(id -> checker.trackedRequests.get(id).answered
                    && checker.trackedRequests.get(id).attemptsInFlight() == 0);
        }
        for (int i = 0; i < 400; i++) {
            checker.nowMs += 50;
            fireTimers(checker, balancer);
            timeOutOverdueAttempts(checker, balancer, openIds);
            openIds.removeIf(id -> checker.trackedRequests.get(id).answered
                    && checker.trackedRequests.get(id).attemptsInFlight() == 0);
        }
        assertTrue(
                checker.trackedRequests.values().stream().allMatch(request -> request.answered),
                "a request got no final answer");
        assertTrue(openIds.isEmpty());
        assertEquals(0, checker.attemptsInFlight);
        assertEquals(0, balancer.pendingRequests(), "the balancer should have no pending requests");
    }

    private static void fireTimers(RuleChecker checker, LoadBalancer balancer) {
        for (int i = 0; i < checker.timersDueMs.size(); i++) {
            if (checker.timersDueMs.get(i) <= checker.nowMs) {
                checker.timersDueMs.remove(i);
                balancer.onTimer(checker.nowMs, checker.timerNames.remove(i));
                i = -1;
            }
        }
    }

    /** Times out the attempts of requests whose deadline is at most 15 ms away, at the deadline at the latest. */
    private static void timeOutOverdueAttempts(RuleChecker checker, LoadBalancer balancer, List<String> openIds) {
        for (String id : List.copyOf(openIds)) {
            TrackedRequest request = checker.trackedRequests.get(id);
            if (request.deadlineMs <= checker.nowMs + 15) {
                double nowMs = checker.nowMs;
                checker.nowMs = Math.min(nowMs, request.deadlineMs);
                while (request.attemptsInFlight() > 0) {
                    finishAttempt(checker, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                checker.nowMs = nowMs;
            }
        }
    }

    private static void finishAttempt(RuleChecker checker, LoadBalancer balancer, String id, AttemptOutcome outcome) {
        TrackedRequest request = checker.trackedRequests.get(id);
        int attempt = request.outcomes.indexOf(null);
        if (attempt < 0) {
            return;
        }
        request.outcomes.set(attempt, outcome);
        checker.attemptsInFlight--;
        boolean served = outcome == AttemptOutcome.OK && !request.answered;
        boolean concluded = request.answered || served;
        request.answered |= served;
        balancer.onAttemptFinished(
                checker.nowMs,
                new AttemptResult(
                        id,
                        attempt,
                        request.endpointIds.get(attempt),
                        outcome,
                        checker.nowMs - request.sentAtMs.get(attempt),
                        concluded,
                        LoadReport.NONE));
    }

    private static void changeList(RuleChecker checker, LoadBalancer balancer, Random random, boolean full) {
        List<Endpoint> changes = new ArrayList<>();
        for (int i = 0; i < (full ? 12 : 2); i++) {
            String id = "s" + (full ? i : random.nextInt(15));
            EndpointStatus status = full ? EndpointStatus.READY : STATUSES.get(random.nextInt(3));
            double startedMs = random.nextInt(4) == 0 ? checker.nowMs - random.nextInt(9000) : 0;
            int number = Integer.parseInt(id.substring(1));
            Endpoint endpoint = new Endpoint(id, number % 2, 0, number % 4, startedMs, status, 1);
            changes.add(endpoint);
            checker.listedEndpoints.put(id, endpoint);
        }
        balancer.onEndpointList(checker.nowMs, full ? EndpointListKind.CACHED : EndpointListKind.DELTA, changes);
    }
}
