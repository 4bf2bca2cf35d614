import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a look-up and three orders at once on one connection. The disruption: the endpoint answers the look-up
 * with 404. Each request has to get its final answer.
 */
final class PipelinedBehind404 {
    private static final int CLIENTS = 10;
    private static final int ORDERS = 3;
    private static final int DEADLINE_MS = 3000;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final int LATEST_MS = DEADLINE_MS + 500;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger lostAfterRun = new AtomicInteger();

    public static void main(String[] args) {
        Stand.run(args, new PipelinedBehind404()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        List<Stand.Endpoint> endpoints = Stand.endpoints(
                4,
                (endpoint, request) -> {
                    String id = request.header("x-request-id");
                    boolean lookUp = request.first.startsWith("GET");
                    Stand.sleep(lookUp ? 60 : 120);
                    ran.add(id);
                    stage.record.line("endpoint %s: ran %s", endpoint.id, id);
                    if (lookUp && Stand.trouble()) {
                        throw new Stand.Status(404);
                    }
                    return Stand.ascii("done " + id);
                },
                stage.record);
        String settings = Stand.settings(
                Stand.requestClass("slot-lookup", "repeatable", 500, DEADLINE_MS) + ","
                        + Stand.requestClass("book-visit", "once", 1500, DEADLINE_MS),
                150,
                false);
        Stand.Sidecar sidecar = stage.start(new Stand.Discovery(endpoints, stage.record), settings);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Stand.start("client", () -> client(sidecar, stage.record)));
            Stand.sleep(300);
        }
        for (Thread client : clients) {
            client.join();
        }
        return new Stand.Result(
                lost.get() > 0,
                String.format(
                        "%d requests answered, %d never answered, of which %d were run by an endpoint",
                        answered.get(), lost.get(), lostAfterRun.get()));
    }

    private void client(Stand.Sidecar sidecar, Stand.Record record) {
        List<String> waiting = new ArrayList<>();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i <= ORDERS; i++) {
            String id = Stand.newId();
            waiting.add(id);
            all.writeBytes(
                    i == 0
                            ? Stand.head("GET", id, "slot-lookup", DEADLINE_MS, "")
                            : Stand.head("POST", id, "book-visit", DEADLINE_MS, "Content-Length: 0\r\n"));
        }
        try (Socket socket = Stand.connect(sidecar.port)) {
            socket.getOutputStream().write(all.toByteArray());
            record.line("client: sent %s at once", waiting);
            socket.setSoTimeout(LATEST_MS);
            InputStream in = socket.getInputStream();
            while (!waiting.isEmpty()) {
                Stand.Message answer = Stand.read(in);
                if (answer == null || !answer.whole) {
                    throw new IOException("the connection ended with no whole answer");
                }
                answered.incrementAndGet();
                record.line("client: %s answered with %d", waiting.remove(0), answer.status());
            }
        } catch (IOException e) {
            Stand.sleep(1000); // What an endpoint has in hand ends in this time.
            for (String id : waiting) {
                lost.incrementAndGet();
                lostAfterRun.addAndGet(ran.contains(id) ? 1 : 0);
                record.line("client: LOST %s: %s; run by an endpoint: %s", id, e.getMessage(), ran.contains(id));
            }
        }
    }
}
