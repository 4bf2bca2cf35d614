package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import martenlatch.policy.Contract.Actions;
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
import org.junit.jupiter.api.Test;

/** The README's example, which must compile and run. */
class EmbeddingExampleTest {

    @Test
    void aSidecarCreatesFeedsAndObeysABalancer() {
        Recorder recorder = new Recorder();
        Actions sidecar = recorder;
        // README: begin
        Settings settings = new Settings(3, 0, 0, 0, false, false, 0.1, 0,
            List.of(new RequestClass("read", 300, 1000, 1, 0, Effect.REPEATABLE, Group.ALL, 0, false)),
            List.of(),
            new Limits(3, true, true, 2000, 250),
            new Rules(0.3, 9000, 3, 1000, 1000, 10_000));
        Decide balancer = new Decide(settings, 42, sidecar);

        double now = 0;
        balancer.onServers(now, ListKind.FULL, List.of(
            new Server("10.0.0.1:80", 0, 0, 0, 0, State.READY, 1),
            new Server("10.0.0.2:80", 0, 0, 0, 0, State.READY, 1)));
        balancer.onRequest(now, new Request("r1", 0, 0, now + 1000, false));
        // The balancer has called sidecar.send("r1", server, timeoutMs): carry it out, then tell the end.
        balancer.onFinished(now + 12, new Finished("r1", 0, "10.0.0.1:80", Outcome.OK, 12, true, Load.NONE));
        // README: end
        assertEquals(1, recorder.sent.size());
        assertEquals(0, balancer.openCalls());
    }
}
