package mapleroute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mapleroute.Contract.Actions;
import mapleroute.Contract.Effect;
import mapleroute.Contract.Finished;
import mapleroute.Contract.Group;
import mapleroute.Contract.Limits;
import mapleroute.Contract.ListKind;
import mapleroute.Contract.Load;
import mapleroute.Contract.Outcome;
import mapleroute.Contract.Request;
import mapleroute.Contract.RequestClass;
import mapleroute.Contract.Rules;
import mapleroute.Contract.Server;
import mapleroute.Contract.Settings;
import mapleroute.Contract.State;
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
