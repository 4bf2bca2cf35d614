package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid input is rejected before it has any effect, with an exception that names the field and the value. */
class BadInputTest {

    private static void assertRejected(String field, Object value, Executable call) {
        String message = assertThrows(IllegalArgumentException.class, call).getMessage();
        assertTrue(message.contains(field) && message.contains(String.valueOf(value)), message);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void invalidNumberIsNamed(double invalid) {
        assertRejected(
                "classes[].aim",
                invalid,
                () -> new RequestClass(
                        "c", invalid, 1000, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].deadline",
                invalid,
                () -> new RequestClass(
                        "c", 100, invalid, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].worth",
                invalid,
                () -> new RequestClass(
                        "c", 100, 1000, invalid, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected("limits.connectTimeout", invalid, () -> new AttemptLimits(3, true, true, 2000, invalid));
        assertRejected("limits.maxCoolDown", invalid, () -> new AttemptLimits(3, true, true, invalid, 200));
        assertRejected("rules.coldShare", invalid, () -> new EndpointRules(invalid, 8000, 3, 1000, 1000, 10_000));
        assertRejected("rules.coldMs", invalid, () -> new EndpointRules(0.3, invalid, 3, 1000, 1000, 10_000));
        assertRejected("rules.askWithin", invalid, () -> new EndpointRules(0.3, 8000, 3, 1000, 1000, invalid));
        assertRejected("tenants[].allowance", invalid, () -> new Tenant("t", invalid, 1));
        assertRejected("server.weight", invalid, () -> new Endpoint("s", 0, 0, 0, 0, EndpointStatus.READY, invalid));
        assertRejected(
                "finished.took",
                invalid,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, invalid, true, LoadReport.NONE));
    }

    @Test
    void missingValueIsNamed() {
        assertRejected("request.id", null, () -> new Request(null, 0, 0, 1000, false));
        assertRejected("request.deadline", Double.NaN, () -> new Request("r", 0, 0, Double.NaN, false));
        assertRejected("finished.outcome", null, () -> new AttemptResult("r", 0, "s", null, 5, true, LoadReport.NONE));
        assertRejected(
                "finished.attempt",
                -1,
                () -> new AttemptResult("r", -1, "s", AttemptOutcome.OK, 5, true, LoadReport.NONE));
        assertRejected("server.id", null, () -> new Endpoint(null, 0, 0, 0, 0, EndpointStatus.READY, 1));
        assertRejected("server.state", null, () -> new Endpoint("s", 0, 0, 0, 0, null, 1));
    }

    @Test
    void invalidRequestHasNoEffect() {
        BalancerFixture fixture = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(3));
        String firstId = fixture.request(BalancerFixture.IDEMPOTENT);
        fixture.nowMs += 60_000;
        List<String> before = List.copyOf(fixture.actions.all);
        assertRejected(
                "class",
                9,
                () -> fixture.balancer.onRequest(fixture.nowMs, new Request("x", 9, 0, fixture.nowMs + 100, false)));
        assertRejected(
                "tenant",
                5,
                () -> fixture.balancer.onRequest(fixture.nowMs, new Request("x", 0, 5, fixture.nowMs + 100, false)));
        assertRejected(
                firstId,
                "in flight",
                () -> fixture.balancer.onRequest(
                        fixture.nowMs, new Request(firstId, 0, 0, fixture.nowMs + 100, false)));
        assertEquals(before, fixture.actions.all);
        assertEquals(1, fixture.balancer.pendingRequests());
    }

    @Test
    void extremeFleetSizesAreSupported() {
        for (List<Endpoint> list :
                List.of(List.<Endpoint>of(), List.of(BalancerFixture.endpoint("d", 0, 0, EndpointStatus.DRAINING)))) {
            BalancerFixture fixture = BalancerFixture.of(1, 0, 0).list(list);
            String id = fixture.request(BalancerFixture.NON_IDEMPOTENT);
            assertEquals(List.of(id), fixture.actions.rejected);
            assertTrue(fixture.actions.sent.isEmpty());
        }
        BalancerFixture manyBalancers = BalancerFixture.of(5000, 4999, 0).list(BalancerFixture.endpoints(1));
        manyBalancers.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals("s0", manyBalancers.actions.last().endpointId());
    }
}
