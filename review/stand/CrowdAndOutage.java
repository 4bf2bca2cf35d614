import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint begins to drain just after an outage of discovery. The disruption: discovery is down for 6 s, and idle
 * clients fill the descriptors. Nothing new may go to the endpoint once the change counts as told and the grace is over.
 */
final class CrowdAndOutage {
    private static final int IDLE_CLIENTS = 560;
    private static final int OUTAGE_MS = 6000;
    /** A change counts as told 6 s after discovery has it at the latest. */
    private static final int TOLD_MS = 6000;
    /** The grace of the settings, and 50 ms as on sockets. */
    private static final int GRACE_MS = 550;

    private static final int CLIENTS = 16;
    private static final int PLAY_MS = 30_000;
    private static final int DEADLINE_MS = 3000;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile double changedMs = Double.POSITIVE_INFINITY;
    private volatile double lastLateMs;

    public static void main(String[] args) {
        Stand.run(args, new CrowdAndOutage()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        List<Stand.Endpoint> endpoints = Stand.endpoints(
                6,
                (endpoint, request) -> {
                    double drainingMs = endpoint.state.equals("in_service") ? 0 : Stand.nowMs() - changedMs;
                    if (drainingMs > TOLD_MS + GRACE_MS) {
                        late.incrementAndGet();
                        lastLateMs = drainingMs;
                    }
                    stage.record.line(
                            "endpoint %s: ran %s%s",
                            endpoint.id,
                            request.header("x-request-id"),
                            drainingMs > 0 ? String.format(", %.0f ms after it began to drain", drainingMs) : "");
                    Stand.sleep(100);
                    return Stand.ascii("done " + request.header("x-request-id"));
                },
                stage.record);
        String settings = Stand.settings(Stand.requestClass("book-visit", "once", 1500, DEADLINE_MS), 150, true);
        Stand.Discovery discovery = new Stand.Discovery(endpoints, stage.record);
        Stand.Sidecar sidecar = stage.start(discovery, settings);
        for (int i = 0; i < CLIENTS; i++) {
            Stand.start("client", () -> client(sidecar, stage.record));
        }
        if (Stand.trouble()) {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Stand.start("idle", () -> idle(sidecar));
            }
        }
        Stand.sleep(4000);
        if (Stand.trouble()) {
            discovery.goDown();
            Stand.sleep(OUTAGE_MS);
            discovery.comeBack();
        }
        Stand.sleep(500);
        changedMs = Stand.nowMs();
        discovery.change(endpoints.get(0), "terminating");
        Stand.sleep(PLAY_MS);
        return new Stand.Result(
                late.get() > 0,
                String.format(
                        "%d requests answered; %d went to the draining endpoint too late, the last %.0f ms after it"
                                + " began to drain",
                        answered.get(), late.get(), lastLateMs));
    }

    private void client(Stand.Sidecar sidecar, Stand.Record record) {
        while (sidecar.process.isAlive()) {
            String id = Stand.newId();
            try (Socket socket = Stand.connect(sidecar.port)) {
                socket.getOutputStream()
                        .write(Stand.head("POST", id, "book-visit", DEADLINE_MS, "Content-Length: 0\r\n"));
                Stand.Message answer = Stand.read(socket.getInputStream());
                answered.addAndGet(answer == null ? 0 : 1);
                record.line("client: %s answered with %s", id, answer == null ? "nothing" : answer.status());
            } catch (IOException e) {
                record.line("client: %s: %s", id, e.getMessage());
            }
            Stand.sleep(50);
        }
    }

    /** Connects, asks nothing and connects anew when it is shut out. */
    private static void idle(Stand.Sidecar sidecar) {
        while (sidecar.process.isAlive()) {
            try (Socket socket = Stand.connect(sidecar.port)) {
                socket.getInputStream().read();
            } catch (IOException e) {
                Stand.sleep(100);
            }
            Stand.sleep(20);
        }
    }
}
