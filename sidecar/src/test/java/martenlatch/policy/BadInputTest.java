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

/** A host that breaks the contract is told which field and value, before anything is done. */
class BadInputTest {

    private static void refused(String field, Object value, Executable call) {
        String message = assertThrows(IllegalArgumentException.class, call).getMessage();
        assertTrue(message.contains(field) && message.contains(String.valueOf(value)), message);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void numbersThatCannotBeAreNamed(double bad) {
        refused(
                "classes[].aim",
                bad,
                () -> new RequestClass(
                        "c", bad, 1000, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        refused(
                "classes[].deadline",
                bad,
                () -> new RequestClass(
                        "c", 100, bad, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        refused(
                "classes[].worth",
                bad,
                () -> new RequestClass(
                        "c", 100, 1000, bad, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        refused("limits.connectTimeout", bad, () -> new AttemptLimits(3, true, true, 2000, bad));
        refused("limits.maxCoolDown", bad, () -> new AttemptLimits(3, true, true, bad, 200));
        refused("rules.coldShare", bad, () -> new EndpointRules(bad, 8000, 3, 1000, 1000, 10_000));
        refused("rules.coldMs", bad, () -> new EndpointRules(0.3, bad, 3, 1000, 1000, 10_000));
        refused("rules.askWithin", bad, () -> new EndpointRules(0.3, 8000, 3, 1000, 1000, bad));
        refused("tenants[].allowance", bad, () -> new Tenant("t", bad, 1));
        refused("server.weight", bad, () -> new Endpoint("s", 0, 0, 0, 0, EndpointStatus.READY, bad));
        refused(
                "finished.took",
                bad,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, bad, true, LoadReport.NONE));
    }

    @Test
    void whatIsMissingIsNamed() {
        refused("request.id", null, () -> new Request(null, 0, 0, 1000, false));
        refused("request.deadline", Double.NaN, () -> new Request("r", 0, 0, Double.NaN, false));
        refused("finished.outcome", null, () -> new AttemptResult("r", 0, "s", null, 5, true, LoadReport.NONE));
        refused(
                "finished.attempt",
                -1,
                () -> new AttemptResult("r", -1, "s", AttemptOutcome.OK, 5, true, LoadReport.NONE));
        refused("server.id", null, () -> new Endpoint(null, 0, 0, 0, 0, EndpointStatus.READY, 1));
        refused("server.state", null, () -> new Endpoint("s", 0, 0, 0, 0, null, 1));
    }

    @Test
    void aBadRequestChangesNothing() {
        BalancerFixture f = BalancerFixture.of(10, 0, 0).list(BalancerFixture.endpoints(3));
        String first = f.request(BalancerFixture.IDEMPOTENT);
        f.now += 60_000;
        List<String> before = List.copyOf(f.host.all);
        refused("class", 9, () -> f.balancer.onRequest(f.now, new Request("x", 9, 0, f.now + 100, false)));
        refused("tenant", 5, () -> f.balancer.onRequest(f.now, new Request("x", 0, 5, f.now + 100, false)));
        refused(first, "in flight", () -> f.balancer.onRequest(f.now, new Request(first, 0, 0, f.now + 100, false)));
        assertEquals(before, f.host.all);
        assertEquals(1, f.balancer.pendingRequests());
    }

    @Test
    void extremeButLegalFleetsGetLegalAnswers() {
        for (List<Endpoint> list :
                List.of(List.<Endpoint>of(), List.of(BalancerFixture.endpoint("d", 0, 0, EndpointStatus.DRAINING)))) {
            BalancerFixture f = BalancerFixture.of(1, 0, 0).list(list);
            String refused = f.request(BalancerFixture.NON_IDEMPOTENT);
            assertEquals(List.of(refused), f.host.refused);
            assertTrue(f.host.sent.isEmpty());
        }
        BalancerFixture many = BalancerFixture.of(5000, 4999, 0).list(BalancerFixture.endpoints(1));
        many.request(BalancerFixture.NON_IDEMPOTENT);
        assertEquals("s0", many.host.last().endpointId());
    }
}
