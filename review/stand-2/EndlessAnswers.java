import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight answers of endpoints begins and never ends. Checks that half a second after its time each request
 * has got a whole answer, or the client can tell from the end of the connection that it gets none.
 */
final class EndlessAnswers {

    private static final int REQUESTS = 300;
    private static final long DEADLINE_MS = 1500;
    private static final long MARGIN_MS = 250;
    /** How long a client that has got no end waits on, to see whether one comes at all. */
    private static final long WATCHED_MS = 14_000;

    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static final Map<String, Integer> RESULTS = new TreeMap<>();

    public static void main(String[] args) throws IOException {
        Kit.main(EndlessAnswers::run);
    }

    private static boolean run() throws Exception {
        Map<String, Object> lookup = Kit.requestClass("slot-lookup", "repeatable", 500, DEADLINE_MS, 12, 0, 5000);
        Map<String, Object> book = Kit.requestClass("book-visit", "once", 1500, 6000, 1, 0, 5000);
        Kit.Handler sound = Kit.serves(30);
        List<Kit.Server> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new Kit.Server("s-" + i, "lj-north", (server, request, socket) -> {
                if (!Kit.TROUBLE || ANSWERS.incrementAndGet() % 8 != 0) {
                    sound.handle(server, request, socket);
                    return;
                }
                Thread.sleep(30);
                Kit.note("endpoint " + server.id + " begins an answer to " + request.header("X-Request-Id"));
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                for (int sent = 0; sent < 1999; sent++) {
                    socket.getOutputStream().write('x');
                    Thread.sleep(200);
                }
            }));
        }
        Kit.Discovery discovery = new Kit.Discovery(servers);
        Kit.Sidecar sidecar = new Kit.Sidecar(
                "n0", discovery.port(), discovery.whole(), Kit.settings(List.of(lookup, book), "on_request", 1));
        sidecar.start();
        sidecar.awaitReady(30_000);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(Kit.daemon(() -> request(sidecar, lost)));
            Thread.sleep(50);
        }
        for (Thread client : clients) {
            client.join();
        }
        RESULTS.forEach((result, count) -> Kit.note(result + ": " + count));
        sidecar.noteLog();
        Kit.note("requests with neither a whole answer nor an end of the connection in time: " + lost.get());
        return lost.get() == 0;
    }

    private static void request(Kit.Sidecar sidecar, AtomicInteger lost) {
        String id = Kit.newId();
        String result;
        try (Kit.Client client = new Kit.Client(sidecar.port)) {
            client.send(Kit.head(id, "slot-lookup", true, null, DEADLINE_MS, 0), new byte[0]);
            double sentMs = Kit.ms();
            client.socket.setSoTimeout(100);
            Kit.Reading reading = new Kit.Reading(client.socket.getInputStream());
            while (!reading.isEnded() && Kit.ms() < sentMs + DEADLINE_MS + Kit.LATE_MS + MARGIN_MS) {
                reading.read();
            }
            if (reading.isEnded()) {
                result = reading.describe();
            } else {
                lost.incrementAndGet();
                Kit.note(id + " NO END " + Math.round(Kit.ms() - sentMs) + " ms after it was sent: "
                        + reading.describe());
                while (!reading.isEnded() && Kit.ms() < sentMs + WATCHED_MS) {
                    reading.read();
                }
                result = "no end in time";
                Kit.note(id + " after " + Math.round(Kit.ms() - sentMs) + " ms: " + reading.describe());
            }
        } catch (IOException e) {
            result = "connection ended: " + e.getMessage();
        }
        Kit.note(id + " " + result);
        synchronized (RESULTS) {
            RESULTS.merge(result, 1, Integer::sum);
        }
    }
}
