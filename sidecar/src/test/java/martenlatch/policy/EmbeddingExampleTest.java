package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
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
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests that the example in the README compiles and runs. */
class EmbeddingExampleTest {

    @Test
    void readmeExampleCompletesOneRequest() {
        RecordingActions recorder = new RecordingActions();
        BalancerActions sidecar = recorder;
        // README: begin
        BalancerSettings settings = new BalancerSettings(
                3,
                0,
                0,
                0,
                false,
                false,
                0.1,
                0,
                List.of(new RequestClass(
                        "read", 300, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, true, true, 2000, 250),
                new EndpointRules(0.3, 9000, 3, 1000, 1000, 10_000));
        LoadBalancer balancer = new LoadBalancer(settings, 42, sidecar);

        double now = 0;
        balancer.onEndpointList(
                now,
                EndpointListKind.FULL,
                List.of(
                        new Endpoint("10.0.0.1:80", 0, 0, 0, 0, EndpointStatus.READY, 1),
                        new Endpoint("10.0.0.2:80", 0, 0, 0, 0, EndpointStatus.READY, 1)));
        balancer.onRequest(now, new Request("r1", 0, 0, now + 1000, false));
        // The balancer has called sidecar.forward("r1", endpointId, timeoutMs): carry it out, then report the result.
        balancer.onAttemptFinished(
                now + 12, new AttemptResult("r1", 0, "10.0.0.1:80", AttemptOutcome.OK, 12, true, LoadReport.NONE));
        // README: end
        assertEquals(1, recorder.sent.size());
        assertEquals(0, balancer.pendingRequests());
    }
}
