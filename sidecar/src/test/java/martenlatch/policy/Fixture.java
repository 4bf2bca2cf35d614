package martenlatch.policy;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.Contract.Effect;
import martenlatch.policy.Contract.Finished;
import martenlatch.policy.Contract.Group;
import martenlatch.policy.Contract.Limits;
import martenlatch.policy.Contract.ListKind;
import martenlatch.policy.Contract.Load;
import martenlatch.policy.Contract.Outcome;
import martenlatch.policy.Contract.Request;
import martenlatch.policy.Contract.RequestClass;
import martenlatch.policy.Contract.Rules;
import martenlatch.policy.Contract.Server;
import martenlatch.policy.Contract.Settings;
import martenlatch.policy.Contract.State;
import martenlatch.policy.Contract.Tenant;

/** A balancer with a recording host and a clock set by hand. */
final class Fixture {

    static final int REPEATABLE = 0;
    static final int ONCE = 1;
    static final int BY_CELL = 2;

    final Recorder host = new Recorder();
    final Decide balancer;
    double now = 1_000_000;
    private int requests;

    Fixture(Settings settings) {
        this(settings, 7);
    }

    Fixture(Settings settings, long seed) {
        balancer = new Decide(settings, seed, host);
    }

    static Settings settings(int balancers, int own, int tier, boolean parallel, Tenant... tenants) {
        List<RequestClass> classes = List.of(
            new RequestClass("read", 1000, 3000, 1, 0, Effect.REPEATABLE, Group.ALL, 0, false),
            new RequestClass("order", 1000, 3000, 1, 0.5, Effect.ONCE, Group.ALL, 0, false),
            new RequestClass("save", 1000, 3000, 1, 0.5, Effect.BY_KEY, Group.CELL, 800, false));
        return new Settings(balancers, own, 0, tier, false, true, 0.1, 0, classes, List.of(tenants),
            new Limits(3, parallel, true, 2000, 200),
            new Rules(0.3, 8000, 3, 1000, 1000, 10_000));
    }

    static Fixture of(int balancers, int own, int tier) {
        return new Fixture(settings(balancers, own, tier, true));
    }

    static Server server(String id) {
        return new Server(id, 0, 0, 0, 0, State.READY, 1);
    }

    static Server server(String id, int cell, double startedMs, State state) {
        return new Server(id, 0, 0, cell, startedMs, state, 1);
    }

    static List<Server> servers(int count) {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(server("s" + i));
        }
        return list;
    }

    Fixture list(List<Server> servers) {
        balancer.onServers(now, ListKind.FULL, servers);
        return this;
    }

    void change(Server... servers) {
        balancer.onServers(now, ListKind.DELTA, List.of(servers));
    }

    String request(int kind) {
        return request(kind, 0);
    }

    String request(int kind, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(now, new Request(id, kind, tenant, now + 3000, false));
        return id;
    }

    void finish(Recorder.Sent sent, Outcome outcome, double tookMs) {
        balancer.onFinished(now, new Finished(sent.request(), sent.attempt(), sent.server(), outcome,
            tookMs, outcome == Outcome.OK, Load.NONE));
    }

    /** Has a server fail two calls in a row, which is more than chance, and tells which. */
    String failTwice(Outcome outcome) {
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
