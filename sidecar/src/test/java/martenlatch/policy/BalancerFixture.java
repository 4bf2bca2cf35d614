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

/** A balancer with a recording host and a clock set by hand. */
final class BalancerFixture {

    static final int IDEMPOTENT = 0;
    static final int NON_IDEMPOTENT = 1;
    static final int KEYED_BY_CELL = 2;

    final RecordingActions host = new RecordingActions();
    final LoadBalancer balancer;
    double now = 1_000_000;
    private int requests;

    BalancerFixture(BalancerSettings settings) {
        this(settings, 7);
    }

    BalancerFixture(BalancerSettings settings, long seed) {
        balancer = new LoadBalancer(settings, seed, host);
    }

    static BalancerSettings settings(int balancers, int own, int tier, boolean parallel, Tenant... tenants) {
        return settings(balancers, own, tier, parallel, 10_000, tenants);
    }

    static BalancerSettings settings(
            int balancers, int own, int tier, boolean parallel, double pollIntervalMs, Tenant... tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "save", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 800, false));
        return new BalancerSettings(
                balancers,
                own,
                0,
                tier,
                false,
                true,
                0.1,
                0,
                classes,
                List.of(tenants),
                new AttemptLimits(3, parallel, true, 2000, 200),
                new EndpointRules(0.3, 8000, 3, 1000, 1000, pollIntervalMs));
    }

    static BalancerFixture of(int balancers, int own, int tier) {
        return new BalancerFixture(settings(balancers, own, tier, true));
    }

    static Endpoint endpoint(String id) {
        return new Endpoint(id, 0, 0, 0, 0, EndpointStatus.READY, 1);
    }

    static Endpoint endpoint(String id, int cell, double startedMs, EndpointStatus state) {
        return new Endpoint(id, 0, 0, cell, startedMs, state, 1);
    }

    static List<Endpoint> endpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(endpoint("s" + i));
        }
        return list;
    }

    BalancerFixture list(List<Endpoint> servers) {
        balancer.onEndpointList(now, EndpointListKind.FULL, servers);
        return this;
    }

    void change(Endpoint... servers) {
        balancer.onEndpointList(now, EndpointListKind.DELTA, List.of(servers));
    }

    String request(int kind) {
        return request(kind, 0);
    }

    String request(int kind, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(now, new Request(id, kind, tenant, now + 3000, false));
        return id;
    }

    void finish(RecordingActions.Sent sent, AttemptOutcome outcome, double tookMs) {
        balancer.onAttemptFinished(
                now,
                new AttemptResult(
                        sent.requestId(),
                        sent.attempt(),
                        sent.endpointId(),
                        outcome,
                        tookMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /** Has an endpoint fail two calls in a row, which is more than chance, and tells which. */
    String failTwice(AttemptOutcome outcome) {
        request(IDEMPOTENT);
        RecordingActions.Sent first = host.last();
        finish(first, outcome, 2);
        do {
            now += 300;
            request(IDEMPOTENT);
        } while (!host.last().endpointId().equals(first.endpointId()));
        finish(host.last(), outcome, 2);
        return first.endpointId();
    }

    /** The ranks that the design gives to an endpoint's first slot, worked out apart from the load balancer. */
    static long hash(String id) {
        int h = 0x811c9dc5;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
