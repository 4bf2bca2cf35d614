import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a small request and a long one behind it. The disruption: they stop in the middle of the long one and
 * stay. They are owed an error or a close within 3 s.
 */
final class PipelinedStall {
    private static final int CLIENTS = 20;
    private static final int BODY_BYTES = 2 * 1024 * 1024;
    private static final int SENT_BYTES = 200 * 1024;
    private static final int DEADLINE_MS = 3000;
    private static final int OWED_MS = 3500;
    private static final int STAY_MS = 15_000;

    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger stuck = new AtomicInteger();

    public static void main(String[] args) {
        Stand.run(args, new PipelinedStall()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        List<Stand.Endpoint> endpoints = Stand.endpoints(
                8,
                (endpoint, request) -> {
                    stage.record.line("endpoint %s: ran %s", endpoint.id, request.header("x-request-id"));
                    Stand.sleep(30);
                    return Stand.ascii("done " + request.header("x-request-id"));
                },
                stage.record);
        String settings = Stand.settings(
                Stand.requestClass("slot-lookup", "repeatable", 500, DEADLINE_MS) + ","
                        + Stand.requestClass("book-visit", "once", 1500, DEADLINE_MS),
                150,
                true);
        Stand.Sidecar sidecar = stage.start(new Stand.Discovery(endpoints, stage.record), settings);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Stand.start("client", () -> client(sidecar, stage.record)));
            Stand.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        return new Stand.Result(
                late.get() + stuck.get() > 0,
                String.format(
                        "of %d clients %d got an error or a close in time, %d later, %d neither in %d ms",
                        CLIENTS, ended.get(), late.get(), stuck.get(), STAY_MS));
    }

    private void client(Stand.Sidecar sidecar, Stand.Record record) {
        String first = Stand.newId();
        String second = Stand.newId();
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(Stand.head("GET", first, "slot-lookup", DEADLINE_MS, ""));
        both.writeBytes(Stand.head(
                "POST", second, "book-visit", DEADLINE_MS, "Content-Length: " + BODY_BYTES + "\r\n"));
        double stoppedMs = Stand.nowMs();
        try (Socket socket = Stand.connect(sidecar.port)) {
            socket.getOutputStream().write(both.toByteArray());
            socket.getOutputStream().write(new byte[Stand.trouble() ? SENT_BYTES : BODY_BYTES]);
            stoppedMs = Stand.nowMs();
            socket.setSoTimeout(STAY_MS);
            InputStream in = socket.getInputStream();
            Stand.Message answer = Stand.read(in);
            for (int i = 0; answer != null && i < 2; i++) {
                record.line("client: %s %s: answer %d: %d", first, second, i + 1, answer.status());
                answer = i == 0 ? Stand.read(in) : null;
            }
            end(record, first, second, stoppedMs);
        } catch (SocketTimeoutException e) {
            stuck.incrementAndGet();
            record.line("client: STUCK %s %s", first, second);
        } catch (IOException e) {
            end(record, first, second, stoppedMs);
        }
    }

    private void end(Stand.Record record, String first, String second, double stoppedMs) {
        double ms = Stand.nowMs() - stoppedMs;
        (ms <= OWED_MS ? ended : late).incrementAndGet();
        record.line("client: %s %s: ended %.0f ms after its last byte", first, second, ms);
    }
}
