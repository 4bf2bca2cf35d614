import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send eight look-ups at once, whose answers hold 63 KiB each, beside eight clients with small requests. The
 * disruption: the former read nothing for 4.5 s. Each request has to get its final answer.
 */
final class UnreadAnswers {
    private static final int READERS = 200;
    /** The next client begins when the look-ups of the one before have been run, or after this time. */
    private static final int MAX_GAP_MS = 20;

    private static final int LOOK_UPS = 8;
    private static final int ANSWER_BYTES = 63 * 1024;
    private static final int PAUSE_MS = 4500;
    private static final int READER_DEADLINE_MS = 6000;
    private static final int SMALL_CLIENTS = 8;
    private static final int SMALL_DEADLINE_MS = 3000;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final int SLACK_MS = 500;

    private static final int PLAY_MS = 16_000;

    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger small = new AtomicInteger();
    private final AtomicInteger lostSmall = new AtomicInteger();

    public static void main(String[] args) {
        Stand.run(args, new UnreadAnswers()::play);
    }

    private Stand.Result play(Stand.Stage stage) throws Exception {
        List<Stand.Endpoint> endpoints = Stand.endpoints(
                16,
                (endpoint, request) -> {
                    stage.record.line("endpoint %s: ran %s", endpoint.id, request.header("x-request-id"));
                    boolean all = request.first.contains("all=1");
                    runs.addAndGet(all ? 1 : 0);
                    return new byte[all ? ANSWER_BYTES : 20];
                },
                stage.record);
        String settings =
                Stand.settings(Stand.requestClass("slot-lookup", "repeatable", 1000, READER_DEADLINE_MS), 150, true);
        Stand.Sidecar sidecar = stage.start(new Stand.Discovery(endpoints, stage.record), settings);
        List<Thread> clients = new ArrayList<>();
        double endMs = Stand.nowMs() + PLAY_MS;
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            clients.add(Stand.start("small", () -> smallRequests(sidecar, stage.record, endMs)));
        }
        Stand.sleep(1000);
        for (int i = 0; i < READERS; i++) {
            int expected = runs.get() + LOOK_UPS;
            clients.add(Stand.start("reader", () -> lookUps(sidecar, stage.record)));
            awaitRuns(expected, MAX_GAP_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        return new Stand.Result(
                lost.get() + lostSmall.get() > 0,
                String.format(
                        "look-ups: %d served, %d refused, %d lost; small requests: %d answered, %d lost",
                        served.get(), refused.get(), lost.get(), small.get(), lostSmall.get()));
    }

    private void awaitRuns(int expected, int maxMs) {
        double untilMs = Stand.nowMs() + maxMs;
        do {
            Stand.sleep(5);
        } while (runs.get() < expected && Stand.nowMs() < untilMs);
    }

    private void smallRequests(Stand.Sidecar sidecar, Stand.Record record, double endMs) {
        while (Stand.nowMs() < endMs) {
            String id = Stand.newId();
            double sentMs = Stand.nowMs();
            try (Socket socket = Stand.connect(sidecar.port)) {
                sentMs = Stand.nowMs();
                socket.getOutputStream().write(Stand.head("GET", id, "slot-lookup", SMALL_DEADLINE_MS, ""));
                int status = awaitAnswer(socket, sentMs, SMALL_DEADLINE_MS);
                small.incrementAndGet();
                record.line("client: %s answered with %d after %.0f ms", id, status, Stand.nowMs() - sentMs);
            } catch (IOException e) {
                lostSmall.incrementAndGet();
                record.line("client: LOST %s, small: %s after %.0f ms", id, e.getMessage(), Stand.nowMs() - sentMs);
            }
            Stand.sleep(50);
        }
    }

    /** Returns the status of the next answer, which has to be there half a second after its time at the latest. */
    private static int awaitAnswer(Socket socket, double sentMs, int deadlineMs) throws IOException {
        double leftMs = sentMs + deadlineMs + SLACK_MS - Stand.nowMs();
        socket.setSoTimeout((int) Math.max(1, leftMs));
        Stand.Message answer = Stand.read(socket.getInputStream());
        if (answer == null || !answer.whole || Stand.nowMs() - sentMs > deadlineMs + SLACK_MS) {
            throw new IOException("no whole answer in time");
        }
        return answer.status();
    }

    private void lookUps(Stand.Sidecar sidecar, Stand.Record record) {
        List<String> waiting = new ArrayList<>();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < LOOK_UPS; i++) {
            waiting.add(Stand.newId());
            String head = new String(Stand.head("GET", waiting.get(i), "slot-lookup", READER_DEADLINE_MS, ""));
            all.writeBytes(Stand.ascii(head.replace("/api", "/api?all=1")));
        }
        double sentMs = Stand.nowMs();
        try (Socket socket = Stand.connect(sidecar.port)) {
            sentMs = Stand.nowMs();
            socket.getOutputStream().write(all.toByteArray());
            record.line("client: sent %s at once", waiting);
            Stand.sleep(Stand.trouble() ? PAUSE_MS : 0);
            while (!waiting.isEmpty()) {
                int status = awaitAnswer(socket, sentMs, READER_DEADLINE_MS);
                (status == 200 ? served : refused).incrementAndGet();
                record.line("client: %s answered with %d", waiting.remove(0), status);
            }
        } catch (IOException e) {
            lost.addAndGet(waiting.size());
            record.line("client: LOST %s: %s after %.0f ms", waiting, e.getMessage(), Stand.nowMs() - sentMs);
        }
    }
}
