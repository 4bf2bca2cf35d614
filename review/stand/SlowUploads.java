import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients upload bodies of 80 and 160 KiB, beside eight clients with small requests. The disruption: the uploads
 * come slowly (20 and 40 kB a second) instead of at once. Each request that is whole has to get its final answer.
 */
final class SlowUploads {
    private static final int UPLOADS = 440;
    private static final int BODY_BYTES = 80 * 1024;
    private static final int BYTES_PER_SECOND = 20_000;
    private static final int PART_BYTES = 2000;
    private static final int SMALL_CLIENTS = 8;
    private static final int PLAY_MS = 14_000;
    private static final int DEADLINE_MS = 3000;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final int LATEST_MS = DEADLINE_MS + 500;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lostUploads = new AtomicInteger();
    private final AtomicInteger lostSmall = new AtomicInteger();
    private final AtomicInteger neverWhole = new AtomicInteger();

    public static void main(String[] args) {
        Stand.run(args, new SlowUploads()::play);
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
        double endMs = Stand.nowMs() + PLAY_MS;
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            clients.add(Stand.start("small", () -> smallRequests(sidecar, stage.record, endMs)));
        }
        Stand.sleep(1000);
        for (int i = 0; i < UPLOADS; i++) {
            int factor = i % 4 == 0 ? 2 : 1;
            clients.add(Stand.start("upload", () -> upload(sidecar, stage.record, factor)));
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean alive = sidecar.process.isAlive();
        return new Stand.Result(
                lostUploads.get() + lostSmall.get() > 0 || !alive,
                String.format(
                        "%d requests answered; lost: %d uploads, %d small requests; cut before they were whole: %d;"
                                + " process alive: %s",
                        answered.get(), lostUploads.get(), lostSmall.get(), neverWhole.get(), alive));
    }

    private void smallRequests(Stand.Sidecar sidecar, Stand.Record record, double endMs) {
        while (Stand.nowMs() < endMs) {
            String id = Stand.newId();
            double sentMs = Stand.nowMs();
            try (Socket socket = Stand.connect(sidecar.port)) {
                sentMs = Stand.nowMs();
                socket.getOutputStream().write(Stand.head("GET", id, "slot-lookup", DEADLINE_MS, ""));
                awaitAnswer(socket, record, id, sentMs);
            } catch (IOException e) {
                lostSmall.incrementAndGet();
                record.line("client: LOST %s, small: %s after %.0f ms", id, e.getMessage(), Stand.nowMs() - sentMs);
            }
            Stand.sleep(100);
        }
    }

    private void awaitAnswer(Socket socket, Stand.Record record, String id, double sentMs) throws IOException {
        socket.setSoTimeout(LATEST_MS);
        Stand.Message answer = Stand.read(socket.getInputStream());
        double ms = Stand.nowMs() - sentMs;
        if (answer == null || !answer.whole || ms > LATEST_MS) {
            throw new IOException("no whole answer in time");
        }
        answered.incrementAndGet();
        record.line("client: %s answered with %d after %.0f ms", id, answer.status(), ms);
    }

    private void upload(Stand.Sidecar sidecar, Stand.Record record, int factor) {
        String id = Stand.newId();
        int length = BODY_BYTES * factor;
        double wholeMs = Double.NaN;
        try (Socket socket = Stand.connect(sidecar.port)) {
            OutputStream out = socket.getOutputStream();
            out.write(Stand.head("POST", id, "book-visit", DEADLINE_MS, "Content-Length: " + length + "\r\n"));
            byte[] part = new byte[PART_BYTES];
            double begunMs = Stand.nowMs();
            for (int written = 0; written < length; ) {
                int size = Math.min(part.length, length - written);
                if (written + size == length) {
                    requireOpen(socket);
                }
                out.write(part, 0, size);
                written += size;
                if (Stand.trouble()) {
                    Stand.sleep(begunMs + written * 1000.0 / (BYTES_PER_SECOND * factor) - Stand.nowMs());
                }
            }
            wholeMs = Stand.nowMs();
            record.line("client: %s is sent whole, %d bytes", id, length);
            awaitAnswer(socket, record, id, wholeMs);
        } catch (IOException e) {
            if (Double.isNaN(wholeMs)) {
                // It was never taken, so that no answer is owed.
                neverWhole.incrementAndGet();
                record.line("client: %s was cut before its last byte: %s", id, e.getMessage());
            } else {
                lostUploads.incrementAndGet();
                record.line(
                        "client: LOST %s, upload: %s, %.0f ms after its last byte",
                        id, e.getMessage(), Stand.nowMs() - wholeMs);
            }
        }
    }

    /** Throws an exception if the sidecar has ended the connection, or has answered already. */
    private static void requireOpen(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            InputStream in = socket.getInputStream();
            throw new IOException(in.read() < 0 ? "ended by the sidecar" : "answered before its last byte");
        } catch (SocketTimeoutException e) {
            return;
        }
    }
}
