import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for long answers, each the only one on its connection. The disruption: they read nothing for 3.5 s.
 * Each has to get the whole answer.
 */
final class PausedReaders {
    private static final int PAUSE_MS = 3500;
    private static final int DEADLINE_MS = 6000;
    private static final int MIN_KIB = 64;
    private static final int MAX_KIB = 768;
    private static final int STEP_KIB = 4;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();

    public static void main(String[] args) {
        Stand.run(args, new PausedReaders()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        List<Stand.Endpoint> endpoints = Stand.endpoints(
                4,
                (endpoint, request) -> {
                    Stand.sleep(10);
                    return new byte[Integer.parseInt(request.first.replaceAll(".*size=(\\d+).*", "$1"))];
                },
                stage.record);
        String settings = Stand.settings(Stand.requestClass("list", "repeatable", 1000, DEADLINE_MS), 150, true);
        Stand.Sidecar sidecar = stage.start(new Stand.Discovery(endpoints, stage.record), settings);
        List<Thread> clients = new ArrayList<>();
        for (int kib = MIN_KIB; kib <= MAX_KIB; kib += STEP_KIB) {
            int size = kib * 1024;
            clients.add(Stand.start("client", () -> client(sidecar, stage.record, size)));
            Stand.sleep(25);
        }
        for (Thread client : clients) {
            client.join();
        }
        return new Stand.Result(
                cut.get() > 0,
                String.format("%d answers whole, %d refused, %d cut", whole.get(), refused.get(), cut.get()));
    }

    private void client(Stand.Sidecar sidecar, Stand.Record record, int size) {
        String id = Stand.newId();
        double sentMs = Stand.nowMs();
        try (Socket socket = Stand.connect(sidecar.port)) {
            String head = new String(Stand.head("GET", id, "list", DEADLINE_MS, "Connection: close\r\n"));
            socket.getOutputStream().write(Stand.ascii(head.replace("/api", "/api?size=" + size)));
            Stand.sleep(Stand.trouble() ? PAUSE_MS : 0);
            Stand.Message answer = Stand.read(socket.getInputStream());
            if (answer == null || !answer.whole) {
                throw new IOException("cut after " + (answer == null ? 0 : answer.body.length) + " bytes");
            }
            (answer.status() == 200 ? whole : refused).incrementAndGet();
            record.line("client: %s: %d, %d bytes, %.0f ms", id, answer.status(), size, Stand.nowMs() - sentMs);
        } catch (IOException e) {
            cut.incrementAndGet();
            record.line("client: CUT %s (%d bytes) after %.0f ms: %s", id, size, Stand.nowMs() - sentMs, e.getMessage());
        }
    }
}
