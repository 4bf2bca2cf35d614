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

/** A seeded sequence of events for one load balancer, with endpoints that answer, stall, fail, drain and return. */
final class DecisionSequence implements BalancerActions {
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());
    private static final List<Behavior> BEHAVIORS = List.of(Behavior.values());

    private static final int CLASSES = 4;
    private static final double CONNECT_TIMEOUT_MS = 200;

    /** Something that is due at a time; equal times keep their order. */
    private record Due(double atMs, long number, Runnable event) {}

    private enum Behavior {
        GOOD,
        SLOW,
        FULL,
        FAILING,
        HANGING,
        UNREACHABLE
    }

    private final SplittableRandom random;
    private final Consumer<String> lines;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::number));
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Set<String> ended = new HashSet<>();
    private final List<String> openInOrder = new ArrayList<>();
    private final Map<String, Behavior> behaviors = new HashMap<>();
    private final int fleet;
    private final int balancers;
    private final int tier;
    private final boolean polled;
    private final LoadBalancer balancer;
    private double now = 10_000;
    private long scheduled;
    private int requests;

    DecisionSequence(int seed, Consumer<String> lines) {
        this.lines = lines;
        random = new SplittableRandom(seed);
        fleet = 1 + random.nextInt(30);
        balancers = 1 + random.nextInt(60);
        tier = random.nextInt(3) == 0 ? 1 : 0;
        polled = random.nextBoolean();
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
                balancers,
                balancers / 2,
                0,
                tier,
                polled,
                variant != 2,
                0.1,
                0.05 * variant,
                classes,
                tenants,
                new AttemptLimits(variant == 2 ? 2 : 3, true, variant != 1, 2000, CONNECT_TIMEOUT_MS),
                new EndpointRules(0.3, 3000, 3, 1000, 1000, 10_000));
    }

    void run(int steps) {
        list(EndpointListKind.FULL, fleet);
        for (int step = 0; step < steps; step++) {
            double until = now + random.nextInt(14);
            while (!due.isEmpty() && due.peek().atMs() <= until) {
                Due next = due.poll();
                now = Math.max(now, next.atMs());
                next.event().run();
            }
            now = until;
            step();
        }
        lines.accept("open " + balancer.pendingRequests() + " known " + balancer.knownEndpoints());
    }

    private void step() {
        int what = random.nextInt(100);
        if (what < 70) {
            request();
        } else if (what < 76 && !openInOrder.isEmpty()) {
            String id = openInOrder.get(random.nextInt(openInOrder.size()));
            if (open.remove(id)) {
                balancer.onClientDisconnected(now, id);
            }
            openInOrder.remove(id);
        } else if (what < 84) {
            list(EndpointListKind.DELTA, 1 + random.nextInt(3));
        } else if (what < 86) {
            list(EndpointListKind.FULL, fleet);
        } else if (what < 87) {
            balancer.onEndpointList(now, EndpointListKind.FAILED, List.of());
        } else if (what < 89) {
            Set<String> disabled = new HashSet<>();
            for (int i = random.nextInt(3); i > 0; i--) {
                disabled.add("s" + random.nextInt(fleet + 3));
            }
            balancer.onEndpointsDisabled(now, disabled);
        } else if (what < 90) {
            balancer.onSettingsChanged(now, settings(random.nextInt(3)));
        } else {
            behaviors.put("s" + random.nextInt(fleet + 3), BEHAVIORS.get(random.nextInt(BEHAVIORS.size())));
            request();
        }
    }

    private void request() {
        String id = "r" + requests++;
        open.add(id);
        openInOrder.add(id);
        double deadline = now + 200 + random.nextInt(900);
        balancer.onRequest(
                now, new Request(id, random.nextInt(CLASSES), tier == 1 ? 0 : random.nextInt(2), deadline, false));
    }

    private void list(EndpointListKind kind, int entries) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            int number = kind == EndpointListKind.FULL ? i : random.nextInt(fleet + 3);
            double started = random.nextInt(4) == 0 ? now - random.nextInt(4000) : 0;
            EndpointStatus state = kind == EndpointListKind.FULL || random.nextInt(3) > 0
                    ? EndpointStatus.READY
                    : STATUSES.get(random.nextInt(3));
            double weight = random.nextInt(5) == 0 ? 3 : 1;
            list.add(new Endpoint("s" + number, number % 3 == 0 ? 1 : 0, 0, number % 4, started, state, weight));
        }
        balancer.onEndpointList(now, kind, list);
    }

    private void schedule(double delayMs, Runnable event) {
        due.add(new Due(now + delayMs, scheduled++, event));
    }

    private void finish(String id, int attempt, String server, AttemptOutcome outcome, double sentAt) {
        if (!ended.add(id + "/" + attempt)) {
            return;
        }
        boolean answered = !open.contains(id) || outcome == AttemptOutcome.OK;
        if (answered && open.remove(id)) {
            openInOrder.remove(id);
        }
        balancer.onAttemptFinished(
                now, new AttemptResult(id, attempt, server, outcome, now - sentAt, answered, LoadReport.NONE));
    }

    private void over(String id) {
        open.remove(id);
        openInOrder.remove(id);
    }

    @Override
    public void forward(String id, String server, double timeoutMs) {
        lines.accept("forward " + id + " " + server + " " + timeoutMs);
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        double sentAt = now;
        AttemptOutcome outcome = AttemptOutcome.OK;
        double tookMs = 10 + random.nextInt(60);
        switch (behaviors.getOrDefault(server, Behavior.GOOD)) {
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
            schedule(timeoutMs, () -> finish(id, attempt, server, AttemptOutcome.TIMED_OUT, sentAt));
        } else {
            AttemptOutcome end = outcome;
            schedule(tookMs, () -> finish(id, attempt, server, end, sentAt));
        }
    }

    @Override
    public void reject(String id, double afterMs) {
        lines.accept("reject " + id + " " + afterMs);
        over(id);
    }

    @Override
    public void fail(String id) {
        lines.accept("fail " + id);
        over(id);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        lines.accept("cancel " + id + " " + attempt);
        schedule(0, () -> finish(id, attempt, "", AttemptOutcome.CANCELED, now));
    }

    @Override
    public void scheduleTimer(double delayMs, long name) {
        lines.accept("timer " + delayMs + " " + name);
        schedule(delayMs, () -> balancer.onTimer(now, name));
    }

    @Override
    public void closeIdleConnections(String server) {
        lines.accept("close " + server);
    }

    @Override
    public void pollEndpointList() {
        lines.accept("poll");
    }

    @Override
    public void report(OverloadReport report) {
        lines.accept("report");
    }
}
