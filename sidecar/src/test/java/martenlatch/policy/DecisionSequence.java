package martenlatch.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.OverloadReport;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;

/**
 * Runs a seeded sequence of events on one load balancer, with endpoints that respond, stall, fail, drain and return.
 */
final class DecisionSequence implements BalancerActions {
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());
    private static final List<Behavior> BEHAVIORS = List.of(Behavior.values());

    private static final int CLASS_COUNT = 4;
    private static final double CONNECT_TIMEOUT_MS = 200;

    /** An event that is due at a time; events with equal times run in the order in which they were scheduled. */
    private record DueEvent(double atMs, long number, Runnable event) {}

    private enum Behavior {
        GOOD,
        SLOW,
        FULL,
        FAILING,
        HANGING,
        UNREACHABLE
    }

    private final SplittableRandom random;
    private final Consumer<String> recorder;
    private final PriorityQueue<DueEvent> dueEvents =
            new PriorityQueue<>(Comparator.comparingDouble(DueEvent::atMs).thenComparingLong(DueEvent::number));
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final Set<String> unanswered = new HashSet<>();
    private final Set<String> endedAttempts = new HashSet<>();
    private final List<String> unansweredInOrder = new ArrayList<>();
    private final Map<String, Behavior> behaviors = new HashMap<>();
    private final int endpointCount;
    private final int balancerCount;
    private final int tier;
    private final boolean pollsEndpointList;
    private final LoadBalancer balancer;
    private double nowMs = 10_000;
    private long scheduledCount;
    private int requestCount;

    DecisionSequence(int seed, Consumer<String> recorder) {
        this.recorder = recorder;
        random = new SplittableRandom(seed);
        endpointCount = 1 + random.nextInt(30);
        balancerCount = 1 + random.nextInt(60);
        tier = random.nextInt(3) == 0 ? 1 : 0;
        pollsEndpointList = random.nextBoolean();
        balancer = new LoadBalancer(settings(0), seed, this);
    }

    private BalancerSettings settings(int variant) {
        List<RequestClass> classes = new ArrayList<>();
        classes.add(
                new RequestClass("read", 300, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        classes.add(new RequestClass(
                "order", 400, 1500, 3, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        classes.add(new RequestClass(
                "save",
                350,
                1200,
                2,
                0.2,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                300 + 400 * variant,
                false));
        classes.add(new RequestClass(
                "move",
                250,
                900,
                0.5,
                0,
                Idempotency.IDEMPOTENCY_KEY,
                variant == 1 ? DeduplicationScope.ZONE : DeduplicationScope.ALL,
                800,
                false));
        List<Tenant> tenants =
                tier == 1 ? List.of() : List.of(new Tenant("a", 40 + 10 * variant, 0.5), new Tenant("b", 15, 0.5));
        return new BalancerSettings(
                balancerCount,
                balancerCount / 2,
                0,
                tier,
                pollsEndpointList,
                variant != 2,
                0.1,
                0.05 * variant,
                classes,
                tenants,
                new AttemptLimits(variant == 2 ? 2 : 3, true, variant != 1, 2000, CONNECT_TIMEOUT_MS),
                new EndpointRules(0.3, 3000, 3, 1000, 1000, 10_000));
    }

    /** Runs this many steps; random choices are drawn in a fixed order, on which the recording depends. */
    void run(int steps) {
        sendEndpointList(EndpointListKind.FULL, endpointCount);
        for (int step = 0; step < steps; step++) {
            double untilMs = nowMs + random.nextInt(14);
            while (!dueEvents.isEmpty() && dueEvents.peek().atMs() <= untilMs) {
                DueEvent next = dueEvents.poll();
                nowMs = Math.max(nowMs, next.atMs());
                next.event().run();
            }
            nowMs = untilMs;
            runStep();
        }
        recorder.accept("open " + balancer.pendingRequests() + " known " + balancer.knownEndpoints());
    }

    private void runStep() {
        int choice = random.nextInt(100);
        if (choice < 70) {
            request();
        } else if (choice < 76 && !unansweredInOrder.isEmpty()) {
            String requestId = unansweredInOrder.get(random.nextInt(unansweredInOrder.size()));
            if (unanswered.remove(requestId)) {
                balancer.onClientDisconnected(nowMs, requestId);
            }
            unansweredInOrder.remove(requestId);
        } else if (choice < 84) {
            sendEndpointList(EndpointListKind.DELTA, 1 + random.nextInt(3));
        } else if (choice < 86) {
            sendEndpointList(EndpointListKind.FULL, endpointCount);
        } else if (choice < 87) {
            balancer.onEndpointList(nowMs, EndpointListKind.FAILED, List.of());
        } else if (choice < 89) {
            Set<String> disabled = new HashSet<>();
            for (int i = random.nextInt(3); i > 0; i--) {
                disabled.add("s" + random.nextInt(endpointCount + 3));
            }
            balancer.onEndpointsDisabled(nowMs, disabled);
        } else if (choice < 90) {
            balancer.onSettingsChanged(nowMs, settings(random.nextInt(3)));
        } else {
            behaviors.put("s" + random.nextInt(endpointCount + 3), BEHAVIORS.get(random.nextInt(BEHAVIORS.size())));
            request();
        }
    }

    private void request() {
        String requestId = "r" + requestCount++;
        unanswered.add(requestId);
        unansweredInOrder.add(requestId);
        double deadlineMs = nowMs + 200 + random.nextInt(900);
        balancer.onRequest(
                nowMs,
                new Request(
                        requestId, random.nextInt(CLASS_COUNT), tier == 1 ? 0 : random.nextInt(2), deadlineMs, false));
    }

    private void sendEndpointList(EndpointListKind kind, int entries) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            int number = kind == EndpointListKind.FULL ? i : random.nextInt(endpointCount + 3);
            double startedMs = random.nextInt(4) == 0 ? nowMs - random.nextInt(4000) : 0;
            EndpointStatus status = kind == EndpointListKind.FULL || random.nextInt(3) > 0
                    ? EndpointStatus.READY
                    : STATUSES.get(random.nextInt(3));
            double weight = random.nextInt(5) == 0 ? 3 : 1;
            list.add(new Endpoint("s" + number, number % 3 == 0 ? 1 : 0, 0, number % 4, startedMs, status, weight));
        }
        balancer.onEndpointList(nowMs, kind, list);
    }

    private void schedule(double delayMs, Runnable event) {
        dueEvents.add(new DueEvent(nowMs + delayMs, scheduledCount++, event));
    }

    private void finish(String requestId, int attempt, String endpointId, AttemptOutcome outcome, double sentAtMs) {
        if (!endedAttempts.add(requestId + "/" + attempt)) {
            return;
        }
        boolean answered = !unanswered.contains(requestId) || outcome == AttemptOutcome.OK;
        if (answered && unanswered.remove(requestId)) {
            unansweredInOrder.remove(requestId);
        }
        balancer.onAttemptFinished(
                nowMs,
                new AttemptResult(
                        requestId, attempt, endpointId, outcome, nowMs - sentAtMs, answered, LoadReport.NONE));
    }

    private void markAnswered(String requestId) {
        unanswered.remove(requestId);
        unansweredInOrder.remove(requestId);
    }

    @Override
    public void forward(String requestId, String endpointId, double timeoutMs) {
        recorder.accept("forward " + requestId + " " + endpointId + " " + timeoutMs);
        int attempt = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
        double sentAtMs = nowMs;
        AttemptOutcome outcome = AttemptOutcome.OK;
        double tookMs = 10 + random.nextInt(60);
        switch (behaviors.getOrDefault(endpointId, Behavior.GOOD)) {
            case SLOW -> tookMs = 150 + random.nextInt(500);
            case FULL -> {
                outcome = random.nextInt(3) > 0 ? AttemptOutcome.REJECTED_QUEUE_FULL : AttemptOutcome.OK;
                tookMs = 1 + random.nextInt(3);
            }
            case FAILING -> outcome = random.nextBoolean() ? AttemptOutcome.RESET : AttemptOutcome.FAILED;
            case HANGING -> tookMs = Double.POSITIVE_INFINITY;
            case UNREACHABLE -> {
                outcome = random.nextInt(4) > 0 ? AttemptOutcome.CONNECT_ERROR : AttemptOutcome.NOT_EXECUTED;
                tookMs = random.nextInt(2) * CONNECT_TIMEOUT_MS;
            }
            default -> outcome = random.nextInt(40) == 0 ? AttemptOutcome.FAILED : AttemptOutcome.OK;
        }
        if (tookMs > timeoutMs) {
            schedule(timeoutMs, () -> finish(requestId, attempt, endpointId, AttemptOutcome.TIMED_OUT, sentAtMs));
        } else {
            AttemptOutcome finalOutcome = outcome;
            schedule(tookMs, () -> finish(requestId, attempt, endpointId, finalOutcome, sentAtMs));
        }
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
        recorder.accept("reject " + requestId + " " + retryAfterMs);
        markAnswered(requestId);
    }

    @Override
    public void fail(String requestId) {
        recorder.accept("fail " + requestId);
        markAnswered(requestId);
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        recorder.accept("cancel " + requestId + " " + attempt);
        schedule(0, () -> finish(requestId, attempt, "", AttemptOutcome.CANCELED, nowMs));
    }

    @Override
    public void scheduleTimer(double delayMs, long name) {
        recorder.accept("timer " + delayMs + " " + name);
        schedule(delayMs, () -> balancer.onTimer(nowMs, name));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        recorder.accept("close " + endpointId);
    }

    @Override
    public void pollEndpointList() {
        recorder.accept("poll");
    }

    @Override
    public void report(OverloadReport report) {
        recorder.accept("report");
    }
}
