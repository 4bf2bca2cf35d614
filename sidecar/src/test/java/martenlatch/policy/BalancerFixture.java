package martenlatch.policy;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;

/** A load balancer with a recording host and a clock that the test sets. */
final class BalancerFixture {

    static final int IDEMPOTENT = 0;
    static final int NON_IDEMPOTENT = 1;
    static final int IDEMPOTENCY_KEY_BY_CELL = 2;

    final RecordingActions actions = new RecordingActions();
    final LoadBalancer balancer;
    double nowMs = 1_000_000;
    private int requestCount;

    BalancerFixture(BalancerSettings settings) {
        this(settings, 7);
    }

    BalancerFixture(BalancerSettings settings, long seed) {
        balancer = new LoadBalancer(settings, seed, actions);
    }

    static BalancerSettings settings(int balancerCount, int ownIndex, int tier, boolean hedging, Tenant... tenants) {
        return settings(balancerCount, ownIndex, tier, hedging, 10_000, tenants);
    }

    static BalancerSettings settings(
            int balancerCount, int ownIndex, int tier, boolean hedging, double pollIntervalMs, Tenant... tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "save", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 800, false));
        return new BalancerSettings(
                balancerCount,
                ownIndex,
                0,
                tier,
                false,
                true,
                0.1,
                0,
                classes,
                List.of(tenants),
                new AttemptLimits(3, hedging, true, 2000, 200),
                new EndpointRules(0.3, 8000, 3, 1000, 1000, pollIntervalMs));
    }

    static BalancerFixture of(int balancerCount, int ownIndex, int tier) {
        return new BalancerFixture(settings(balancerCount, ownIndex, tier, true));
    }

    static Endpoint endpoint(String id) {
        return new Endpoint(id, 0, 0, 0, 0, EndpointStatus.READY, 1);
    }

    static Endpoint endpoint(String id, int cell, double startedMs, EndpointStatus status) {
        return new Endpoint(id, 0, 0, cell, startedMs, status, 1);
    }

    static List<Endpoint> endpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(endpoint("s" + i));
        }
        return list;
    }

    /** Applies a full endpoint list. */
    BalancerFixture list(List<Endpoint> endpoints) {
        balancer.onEndpointList(nowMs, EndpointListKind.FULL, endpoints);
        return this;
    }

    /** Applies changes to the endpoint list. */
    void change(Endpoint... endpoints) {
        balancer.onEndpointList(nowMs, EndpointListKind.DELTA, List.of(endpoints));
    }

    /** Sends a request of this class, of tenant 0, and returns its id. */
    String request(int classIndex) {
        return request(classIndex, 0);
    }

    /** Sends a request of this class and tenant, and returns its id. */
    String request(int classIndex, int tenantIndex) {
        String id = "r" + requestCount++;
        balancer.onRequest(nowMs, new Request(id, classIndex, tenantIndex, nowMs + 3000, false));
        return id;
    }

    void finish(RecordingActions.SentAttempt sent, AttemptOutcome outcome, double durationMs) {
        balancer.onAttemptFinished(
                nowMs,
                new AttemptResult(
                        sent.requestId(),
                        sent.attempt(),
                        sent.endpointId(),
                        outcome,
                        durationMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /** Fails two requests in a row at one endpoint, which ejects it, and returns the endpoint's id. */
    String failTwoRequests(AttemptOutcome outcome) {
        request(IDEMPOTENT);
        RecordingActions.SentAttempt first = actions.last();
        finish(first, outcome, 2);
        do {
            nowMs += 300;
            request(IDEMPOTENT);
        } while (!actions.last().endpointId().equals(first.endpointId()));
        finish(actions.last(), outcome, 2);
        return first.endpointId();
    }

    /** Computes an endpoint's hash independently of the load balancer. */
    static long hash(String id) {
        int hash = 0x811c9dc5;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x01000193;
        }
        hash ^= hash >>> 16;
        hash *= 0x7feb352d;
        hash ^= hash >>> 15;
        return hash & 0xffffffffL;
    }
}
