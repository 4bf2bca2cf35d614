package martenlatch.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that the HTTP sidecar and the external processor make the same decisions for the same traffic. */
@Timeout(300)
class BothModesTest {

    private static final int REQUESTS = 10_000;
    private static final int CONTROL_REQUESTS = 1000;

    private static BalancerSettings settings(int maxAttempts) {
        return new BalancerSettings(
                2,
                0,
                0,
                0,
                false,
                false,
                0.1,
                0.05,
                List.of(
                        new RequestClass(
                                "read", 200, 1500, 1, 0.5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                        new RequestClass(
                                "order",
                                400,
                                1500,
                                3,
                                0.5,
                                Idempotency.NON_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                false),
                        new RequestClass(
                                "save",
                                300,
                                1500,
                                1,
                                0,
                                Idempotency.IDEMPOTENCY_KEY,
                                DeduplicationScope.CELL,
                                400,
                                false),
                        new RequestClass(
                                "put",
                                300,
                                1500,
                                2,
                                0.5,
                                Idempotency.IDEMPOTENCY_KEY,
                                DeduplicationScope.ALL,
                                900,
                                false)),
                List.of(new Tenant("a", 100, 0.5), new Tenant("b", 1000, 0.5)),
                new AttemptLimits(maxAttempts, false, true, 2000, 200),
                new EndpointRules(0.3, 1500, 3, 1000, 500, 10_000));
    }

    private static final List<Long> SEEDS = List.of(20L, 23L);
    /** The minimum number of occurrences of each event, as an average per seed. */
    private static final Map<String, Integer> MIN_COUNTS = Map.ofEntries(
            Map.entry("OK", 5000),
            Map.entry("FAILED", 100),
            Map.entry("TIMED_OUT", 50),
            Map.entry("REJECTED_QUEUE_FULL", 50),
            Map.entry("RESET", 50),
            Map.entry("CONNECT_ERROR", 20),
            Map.entry("NOT_EXECUTED", 20),
            Map.entry("REFUSED", 200),
            Map.entry("cold start", 3),
            Map.entry("overload", 3));

    private static BothModesFixture run(
            BothModesFixture.Mode mode,
            int requests,
            int maxAttempts,
            UnaryOperator<EndpointConnections> connectionsDecorator)
            throws Exception {
        return run(SEEDS.get(0), mode, requests, maxAttempts, connectionsDecorator);
    }

    private static BothModesFixture run(
            long seed,
            BothModesFixture.Mode mode,
            int requests,
            int maxAttempts,
            UnaryOperator<EndpointConnections> connectionsDecorator)
            throws Exception {
        try (BothModesFixture fixture =
                new BothModesFixture(mode, seed, requests, settings(maxAttempts), connectionsDecorator)) {
            return fixture.run();
        }
    }

    private static void assertSameDecisions(List<String> expected, List<String> actual) {
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(
                    expected.get(i),
                    actual.get(i),
                    "decision " + i + " after "
                            + expected.subList(Math.max(0, i - 5), i) + ", before "
                            + expected.subList(i, Math.min(i + 5, expected.size())) + " and "
                            + actual.subList(i, Math.min(i + 5, actual.size())));
        }
        assertEquals(expected.size(), actual.size());
    }

    @Test
    void bothModesMakeTheSameDecisions() throws Exception {
        Map<String, Integer> counts = new HashMap<>();
        for (long seed : SEEDS) {
            BothModesFixture http = run(seed, BothModesFixture.Mode.HTTP, REQUESTS, 3, connections -> connections);
            BothModesFixture proxied =
                    run(seed, BothModesFixture.Mode.EXTERNAL_PROCESSOR, REQUESTS, 3, connections -> connections);
            assertSameDecisions(http.decisions, proxied.decisions);
            assertSameDecisions(
                    http.receipts.stream().sorted().toList(),
                    proxied.receipts.stream().sorted().toList());
            assertEquals(http.answers, proxied.answers);
            assertEquals(REQUESTS, http.answers.size());
            http.counts.forEach((what, count) -> counts.merge(what, count, Integer::sum));
        }
        // Every event must have occurred often enough for the comparison to be meaningful.
        MIN_COUNTS.forEach((what, minCount) -> {
            int count = counts.getOrDefault(what, 0);
            assertTrue(count >= SEEDS.size() * minCount, what + ": " + count + " of " + SEEDS.size() * minCount);
        });
    }

    /** Checks that the comparison detects a difference: one mode has one attempt fewer. */
    @Test
    void differentDecisionIsDetected() throws Exception {
        BothModesFixture http = run(BothModesFixture.Mode.HTTP, CONTROL_REQUESTS, 3, connections -> connections);
        BothModesFixture proxied =
                run(BothModesFixture.Mode.EXTERNAL_PROCESSOR, CONTROL_REQUESTS, 2, connections -> connections);
        assertNotEquals(http.decisions, proxied.decisions);
    }

    /** Checks that the comparison of receipts detects a wrong address: one endpoint has that of another. */
    @Test
    void differentEndpointIsDetected() throws Exception {
        BothModesFixture http = run(BothModesFixture.Mode.HTTP, CONTROL_REQUESTS, 3, connections -> connections);
        BothModesFixture proxied =
                run(BothModesFixture.Mode.EXTERNAL_PROCESSOR, CONTROL_REQUESTS, 3, WrongAddressConnections::new);
        assertNotEquals(
                http.receipts.stream().sorted().toList(),
                proxied.receipts.stream().sorted().toList());
    }

    private record WrongAddressConnections(EndpointConnections delegate) implements EndpointConnections {
        @Override
        public void update(EndpointList list) {
            List<EndpointList.Entry> entries = list.entries();
            delegate.update(
                    entries.size() < 2
                            ? list
                            : new EndpointList(
                                    list.version(),
                                    list.full(),
                                    entries.stream()
                                            .map(entry -> entry == entries.get(0)
                                                    ? new EndpointList.Entry(
                                                            entry.endpoint(),
                                                            entries.get(1).address())
                                                    : entry)
                                            .toList()));
        }

        @Override
        public void withdrawAttempts() {
            delegate.withdrawAttempts();
        }

        @Override
        public void closeIdleConnections(String endpointId) {
            delegate.closeIdleConnections(endpointId);
        }
    }
}
