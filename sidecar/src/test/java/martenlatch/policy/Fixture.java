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
final class Fixture {

    static final int REPEATABLE = 0;
    static final int ONCE = 1;
    static final int BY_CELL = 2;

    final Recorder host = new Recorder();
    final LoadBalancer balancer;
    double now = 1_000_000;
    private int requests;

    Fixture(BalancerSettings settings) {
        this(settings, 7);
    }

    Fixture(BalancerSettings settings, long seed) {
        balancer = new LoadBalancer(settings, seed, host);
    }

    static BalancerSettings settings(int balancers, int own, int tier, boolean parallel, Tenant... tenants) {
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
                new EndpointRules(0.3, 8000, 3, 1000, 1000, 10_000));
    }

    static Fixture of(int balancers, int own, int tier) {
        return new Fixture(settings(balancers, own, tier, true));
    }

    static Endpoint server(String id) {
        return new Endpoint(id, 0, 0, 0, 0, EndpointStatus.READY, 1);
    }

    static Endpoint server(String id, int cell, double startedMs, EndpointStatus state) {
        return new Endpoint(id, 0, 0, cell, startedMs, state, 1);
    }

    static List<Endpoint> servers(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(server("s" + i));
        }
        return list;
    }

    Fixture list(List<Endpoint> servers) {
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

    void finish(Recorder.Sent sent, AttemptOutcome outcome, double tookMs) {
        balancer.onAttemptFinished(
                now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.server(),
                        outcome,
                        tookMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /** Has a server fail two calls in a row, which is more than chance, and tells which. */
    String failTwice(AttemptOutcome outcome) {
        request(REPEATABLE);
        Recorder.Sent first = host.last();
        finish(first, outcome, 2);
        do {
            now += 300;
            request(REPEATABLE);
        } while (!host.last().server().equals(first.server()));
        finish(host.last(), outcome, 2);
        return first.server();
    }

    /** The ranks that the design gives to a server's first slot, worked out apart from the module. */
    static long hash(String id) {
        int h = 0x811c9dc5;
        for (char c : id.toCharArray()) {
            h = (h ^ c) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
