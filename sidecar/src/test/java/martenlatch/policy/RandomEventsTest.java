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

/** Random events, and a host that checks the rules from outside, without the load balancer's own state. */
class RandomEventsTest {
    private static final List<AttemptOutcome> OUTCOMES = List.of(AttemptOutcome.values());
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());

    /** A request as the host sees it. */
    private static final class Seen {
        final int kind;
        final double deadlineMs;
        final List<String> servers = new ArrayList<>();
        final List<Double> sentAt = new ArrayList<>();
        final List<AttemptOutcome> ends = new ArrayList<>();
        boolean over;

        Seen(int kind, double deadlineMs) {
            this.kind = kind;
            this.deadlineMs = deadlineMs;
        }

        /** The first attempt that is out or may have run; -1 if there is none. */
        int mayHaveRun() {
            for (int i = 0; i < ends.size(); i++) {
                if (ends.get(i) == null || !ends.get(i).neverExecuted()) {
                    return i;
                }
            }
            return -1;
        }

        int out() {
            return (int) ends.stream().filter(e -> e == null).count();
        }
    }

    /** Checks every action as it comes. */
    private static final class Judge implements BalancerActions {
        final BalancerSettings settings;
        final Map<String, Seen> seen = new HashMap<>();
        final Map<String, Endpoint> listed = new HashMap<>();
        final List<Double> timers = new ArrayList<>();
        final List<Long> timerNames = new ArrayList<>();
        double now;
        int out;

        Judge(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void forward(String request, String server, double timeoutMs) {
            Seen call = seen.get(request);
            RequestClass kind = settings.classes().get(call.kind);
            assertFalse(call.over, "sent after its end: " + request);
            assertEquals(EndpointStatus.READY, listed.get(server).status(), "sent to a server that is not ready");
            assertTrue(timeoutMs <= call.deadlineMs - now + 1e-6, "outlasts the client");
            assertTrue(call.ends.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(settings.limits().hedging() || call.out() == 0, "two attempts at once");
            int first = call.mayHaveRun();
            if (first >= 0) {
                assertTrue(kind.idempotency() != Idempotency.NON_IDEMPOTENT, "a call that may have run was sent again");
                if (kind.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                    assertEquals(
                            listed.get(call.servers.get(first)).cell(),
                            listed.get(server).cell(),
                            "repeat outside the group");
                    assertTrue(now - call.sentAt.get(first) < kind.deduplicationWindowMs(), "repeat after the window");
                }
            }
            call.servers.add(server);
            call.sentAt.add(now);
            call.ends.add(null);
            out++;
            assertTrue(out <= 256, "more calls out than the pool may hold");
        }

        @Override
        public void reject(String request, double coolDownMs) {
            Seen call = seen.get(request);
            assertTrue(
                    settings.classes().get(call.kind).idempotency() == Idempotency.IDEMPOTENT || call.mayHaveRun() < 0,
                    "refused though it may have run");
            finish(call);
        }

        @Override
        public void fail(String request) {
            finish(seen.get(request));
        }

        private void finish(Seen call) {
            assertFalse(call.over, "two final answers");
            assertTrue(now <= call.deadlineMs, "answered too late");
            call.over = true;
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            assertTrue(attempt < seen.get(request).ends.size(), "cancelled an attempt never made");
        }

        @Override
        public void scheduleTimer(double inMs, long name) {
            timers.add(now + inMs);
            timerNames.add(name);
        }

        @Override
        public void closeIdleConnections(String server) {
            assertTrue(listed.containsKey(server));
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
    void theRulesHoldUnderRandomEvents(int seed) {
        Random random = new Random(seed);
        BalancerSettings settings = settings(random);
        Judge judge = new Judge(settings);
        judge.now = 10_000;
        LoadBalancer balancer = new LoadBalancer(settings, seed, judge);
        List<String> open = new ArrayList<>();
        int requests = 0;
        for (int step = 0; step < 4000; step++) {
            judge.now += random.nextInt(12);
            fireTimers(judge, balancer);
            endOverdue(judge, balancer, open);
            int what = random.nextInt(20);
            if (what == 0 || step == 0) {
                changeList(judge, balancer, random, step == 0);
            } else if (what < 9 && step < 3500) {
                String id = "q" + requests++;
                int kind = random.nextInt(settings.classes().size());
                double left = 1 + random.nextInt(3000);
                judge.seen.put(id, new Seen(kind, judge.now + left));
                open.add(id);
                balancer.onRequest(
                        judge.now,
                        new Request(
                                id,
                                kind,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                judge.now + left,
                                false));
            } else if (what < 10 && !open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                judge.seen.get(id).over = true;
                balancer.onClientDisconnected(judge.now, id);
            } else if (!open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                end(judge, balancer, id, OUTCOMES.get(random.nextInt(8)));
            }
            open.removeIf(id -> judge.seen.get(id).over && judge.seen.get(id).out() == 0);
        }
        for (int i = 0; i < 400; i++) {
            judge.now += 50;
            fireTimers(judge, balancer);
            endOverdue(judge, balancer, open);
            open.removeIf(id -> judge.seen.get(id).over && judge.seen.get(id).out() == 0);
        }
        assertTrue(judge.seen.values().stream().allMatch(c -> c.over), "a request was lost");
        assertTrue(open.isEmpty());
        assertEquals(0, judge.out);
        assertEquals(0, balancer.pendingRequests(), "state is left over");
    }

    private static void fireTimers(Judge judge, LoadBalancer balancer) {
        for (int i = 0; i < judge.timers.size(); i++) {
            if (judge.timers.get(i) <= judge.now) {
                judge.timers.remove(i);
                balancer.onTimer(judge.now, judge.timerNames.remove(i));
                i = -1;
            }
        }
    }

    /** The host cuts attempts off at the client's deadline, within the slack that the judge allows. */
    private static void endOverdue(Judge judge, LoadBalancer balancer, List<String> open) {
        for (String id : List.copyOf(open)) {
            Seen call = judge.seen.get(id);
            if (call.deadlineMs <= judge.now + 15) {
                double now = judge.now;
                judge.now = Math.min(now, call.deadlineMs);
                while (call.out() > 0) {
                    end(judge, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                judge.now = now;
            }
        }
    }

    private static void end(Judge judge, LoadBalancer balancer, String id, AttemptOutcome outcome) {
        Seen call = judge.seen.get(id);
        int attempt = call.ends.indexOf(null);
        if (attempt < 0) {
            return;
        }
        call.ends.set(attempt, outcome);
        judge.out--;
        boolean served = outcome == AttemptOutcome.OK && !call.over;
        boolean concluded = call.over || served;
        call.over |= served;
        balancer.onAttemptFinished(
                judge.now,
                new AttemptResult(
                        id,
                        attempt,
                        call.servers.get(attempt),
                        outcome,
                        judge.now - call.sentAt.get(attempt),
                        concluded,
                        LoadReport.NONE));
    }

    private static void changeList(Judge judge, LoadBalancer balancer, Random random, boolean whole) {
        List<Endpoint> changes = new ArrayList<>();
        for (int i = 0; i < (whole ? 12 : 2); i++) {
            String id = "s" + (whole ? i : random.nextInt(15));
            EndpointStatus state = whole ? EndpointStatus.READY : STATUSES.get(random.nextInt(3));
            double started = random.nextInt(4) == 0 ? judge.now - random.nextInt(9000) : 0;
            int number = Integer.parseInt(id.substring(1));
            Endpoint server = new Endpoint(id, number % 2, 0, number % 4, started, state, 1);
            changes.add(server);
            judge.listed.put(id, server);
        }
        balancer.onEndpointList(judge.now, whole ? EndpointListKind.CACHED : EndpointListKind.DELTA, changes);
    }
}
