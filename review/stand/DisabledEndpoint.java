import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator takes one of two endpoints out. The disruption: connections to it come up late (about 1 s, since its
 * accept queue is full when they are asked for). Nothing new may go there from the operator's yes on, after the grace.
 */
final class DisabledEndpoint {
    private static final int GRACE_MS = 550;
    private static final int CLIENTS = 8;
    private static final int DEADLINE_MS = 6000;
    private static final int DIAL_TIMEOUT_MS = 1200;

    private final AtomicInteger late = new AtomicInteger();
    private volatile double yesMs = Double.POSITIVE_INFINITY;

    public static void main(String[] args) {
        Stand.run(args, new DisabledEndpoint()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        Stand.Handler handler = (endpoint, request) -> {
            double after = Stand.nowMs() - yesMs;
            if (endpoint.id.equals("s-1") && after > GRACE_MS) {
                late.incrementAndGet();
            }
            stage.record.line(
                    "endpoint %s: ran %s%s",
                    endpoint.id,
                    request.header("x-request-id"),
                    after > 0 ? String.format(", %.0f ms after the yes", after) : "");
            Stand.sleep(20);
            return Stand.ascii("done " + request.header("x-request-id"));
        };
        Stand.Endpoint out = new Stand.Endpoint("s-1", handler, stage.record, 1);
        Stand.Discovery discovery = new Stand.Discovery(
                List.of(out, new Stand.Endpoint("s-2", handler, stage.record)), stage.record);
        String settings = Stand.settings(
                Stand.requestClass("book-visit", "once", 3000, DEADLINE_MS), DIAL_TIMEOUT_MS, false);
        Stand.Sidecar sidecar = stage.start(discovery, settings);
        List<Socket> fillers = new ArrayList<>();
        if (Stand.trouble()) {
            out.accepting = false;
            fill(out, fillers, stage.record);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Stand.start("client", () -> client(sidecar, stage.record)));
        }
        Stand.sleep(200);
        int status = sidecar.call("/endpoints/disable", "{\"name\":\"s-1\"}");
        yesMs = Stand.nowMs();
        stage.record.line("operator: s-1 is out: %d", status);
        if (status != 200) {
            throw new IOException("the operator's call was answered with " + status);
        }
        out.accepting = true;
        out.resume();
        for (Thread client : clients) {
            client.join();
        }
        return new Stand.Result(late.get() > 0, late.get() + " orders went to the endpoint that was out, too late");
    }

    /** Opens connections until the endpoint's accept queue is full. */
    private static void fill(Stand.Endpoint out, List<Socket> fillers, Stand.Record record) {
        for (int i = 0; i < 4; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(Stand.HOST, out.port), 200);
            } catch (IOException e) {
                record.line("endpoint %s: its accept queue is full", out.id);
            }
        }
    }

    private static void client(Stand.Sidecar sidecar, Stand.Record record) {
        String id = Stand.newId();
        try (Socket socket = Stand.connect(sidecar.port)) {
            socket.getOutputStream()
                    .write(Stand.head("POST", id, "book-visit", DEADLINE_MS, "Content-Length: 0\r\n"));
            Stand.Message answer = Stand.read(socket.getInputStream());
            record.line("client: %s answered with %s", id, answer == null ? "nothing" : answer.status());
        } catch (IOException e) {
            record.line("client: %s: %s", id, e.getMessage());
        }
    }
}
