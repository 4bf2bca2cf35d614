import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send much at once and go. Checks that good clients beside them and after them get an answer to each
 * request in time, whatever the answer is. Endpoints and discovery are sound.
 */
final class BadClients {

    private static final int BAD_CLIENTS = Integer.getInteger("bad", 100);
    private static final int BAD_PAUSE_MS = Integer.getInteger("pause", 100);
    private static final int BODY_BYTES = Integer.getInteger("bytes", 1536 * 1024);
    private static final int GOOD_REQUESTS = 400;
    private static final long DEADLINE_MS = 1500;

    private static final Map<String, Integer> RESULTS = new TreeMap<>();

    public static void main(String[] args) throws IOException {
        Kit.main(BadClients::run);
    }

    private static boolean run() throws Exception {
        Map<String, Object> lookup = Kit.requestClass("slot-lookup", "repeatable", 500, DEADLINE_MS, 12, 0, 5000);
        Map<String, Object> book = Kit.requestClass("book-visit", "once", 1500, 6000, 1, 0, 5000);
        List<Kit.Server> servers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            servers.add(new Kit.Server("s-" + i, "lj-north", Kit.serves(20)));
        }
        Kit.Discovery discovery = new Kit.Discovery(servers);
        Kit.Sidecar sidecar = new Kit.Sidecar(
                "n0", discovery.port(), discovery.whole(), Kit.settings(List.of(lookup, book), "on_request", 1));
        sidecar.start();
        sidecar.awaitReady(30_000);
        Kit.check(goodClients(sidecar, "before", 20) == 0, "requests without an answer before the disruption");
        byte[] body = new byte[BODY_BYTES];
        if (Kit.TROUBLE) {
            Kit.daemon(() -> {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    badClient(sidecar, body);
                    pause(BAD_PAUSE_MS);
                }
                Kit.note("the last bad client has gone");
            });
        }
        int lost = goodClients(sidecar, "beside bad clients and after them", GOOD_REQUESTS);
        RESULTS.forEach((result, count) -> Kit.note(result + ": " + count));
        sidecar.noteLog();
        Kit.note("the sidecar's process " + (sidecar.process.isAlive() ? "runs" : "has ended"));
        Kit.note("requests of good clients with no answer: " + lost);
        return lost == 0;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A bad client writes one long request at once and closes its connection. */
    private static void badClient(Kit.Sidecar sidecar, byte[] body) {
        try (Kit.Client client = new Kit.Client(sidecar.port)) {
            client.send(Kit.head(Kit.newId(), "book-visit", false, null, 6000, body.length), body);
            Kit.note("a bad client has sent " + body.length + " bytes and goes");
        } catch (IOException e) {
            Kit.note("a bad client was turned away: " + e);
        }
    }

    /** Good clients, 20 requests a second; returns the number of requests that got no answer in time. */
    private static int goodClients(Kit.Sidecar sidecar, String when, int requests) throws Exception {
        AtomicInteger lost = new AtomicInteger();
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            all.add(Kit.daemon(() -> {
                String id = Kit.newId();
                String result;
                boolean sent = false;
                try (Kit.Client client = new Kit.Client(sidecar.port)) {
                    client.send(Kit.head(id, "slot-lookup", true, null, DEADLINE_MS, 0), new byte[0]);
                    sent = true;
                    result = "status " + client.receive(DEADLINE_MS + Kit.LATE_MS + 200).status;
                } catch (IOException e) {
                    result = "no answer: " + e;
                    // A connection that is shut is left out: it may have been shut unread.
                    if (e instanceof SocketTimeoutException && sent) {
                        lost.incrementAndGet();
                    }
                }
                Kit.note(when + ": " + id + " " + result);
                synchronized (RESULTS) {
                    RESULTS.merge(when + ": " + result, 1, Integer::sum);
                }
            }));
            pause(50);
        }
        for (Thread each : all) {
            each.join();
        }
        return lost.get();
    }
}
