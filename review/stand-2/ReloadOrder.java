import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New configurations with SIGHUP, which name the same classes in another order, while clients send requests. Checks
 * that no request of the unsafe class comes to endpoints twice, and that each request gets an answer. All endpoints are
 * sound.
 */
final class ReloadOrder {

    private static final int CLIENTS = Integer.getInteger("clients", 100);
    private static final int ROUNDS = Integer.getInteger("rounds", 24);
    private static final int SIDECARS = Integer.getInteger("sidecars", 4);
    private static final int ENDPOINTS = 100;
    /** The size of a booking. */
    private static final int BODY_BYTES = Integer.getInteger("bytes", 200);
    private static final double SPACING_MS = Integer.getInteger("spacing", 50) / 1000.0;
    private static final long PERIOD_MS = 2500;

    private static final Map<Integer, AtomicInteger> STATUSES = new ConcurrentHashMap<>();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        Kit.main(ReloadOrder::run);
    }

    private static boolean run() throws Exception {
        Map<String, Object> lookup = Kit.requestClass("slot-lookup", "repeatable", 500, 1500, 12, 0, 5000);
        Map<String, Object> book = Kit.requestClass("book-visit", "once", 1500, 6000, 1, 0, 5000);
        Map<String, Object> reschedule = Kit.requestClass("reschedule", "by_key", 1000, 4000, 1, 0, 6000);
        List<Map<String, Object>> oneOrder = List.of(lookup, book, reschedule);
        List<Map<String, Object>> otherOrder = List.of(book, lookup, reschedule);
        Kit.Handler quick = Kit.serves(10);
        Kit.Handler slow = Kit.serves(600);
        List<Kit.Server> servers = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            servers.add(new Kit.Server("s-" + i, i % 2 == 0 ? "lj-north" : "mb-east", (server, request, socket) ->
                    ("slot-lookup".equals(request.header("X-Class")) ? quick : slow).handle(server, request, socket)));
        }
        Kit.Discovery discovery = new Kit.Discovery(servers);
        List<Thread> runs = new ArrayList<>();
        AtomicInteger failures = new AtomicInteger();
        List<Kit.Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Map<String, Object> settings = Kit.settings(oneOrder, "on_request", SIDECARS);
            settings.put("slot-no", i);
            Kit.Sidecar sidecar = new Kit.Sidecar("n" + i, discovery.port(), discovery.whole(), settings);
            sidecar.start();
            sidecars.add(sidecar);
        }
        for (int i = 0; i < SIDECARS; i++) {
            Kit.Sidecar sidecar = sidecars.get(i);
            sidecar.awaitReady(30_000);
            Random random = new Random(i);
            runs.add(Kit.daemon(() -> {
                try {
                    play(sidecar, oneOrder, otherOrder, servers, random);
                } catch (Exception e) {
                    Kit.note("clients of " + sidecar.name + " failed: " + e);
                    failures.incrementAndGet();
                }
            }));
        }
        for (Thread run : runs) {
            run.join();
        }
        Kit.check(failures.get() == 0, "clients failed");
        List<String> repeated = repeatedBookings(servers);
        STATUSES.forEach((status, count) -> Kit.note("answers with status " + status + ": " + count));
        sidecars.forEach(Kit.Sidecar::noteLog);
        for (Kit.Sidecar sidecar : sidecars) {
            // Whoever runs this script may have it ignore SIGHUP, as nohup does.
            Kit.check(!Kit.TROUBLE || sidecar.log().contains("configuration reloaded"), "no reload took place");
        }
        Kit.note("requests with no answer: " + UNANSWERED.get());
        Kit.note("bookings that came to endpoints more than once: " + repeated);
        return repeated.isEmpty() && UNANSWERED.get() == 0;
    }

    /** Plays the clients of one sidecar, and its new configurations. */
    private static void play(
            Kit.Sidecar sidecar,
            List<Map<String, Object>> oneOrder,
            List<Map<String, Object>> otherOrder,
            List<Kit.Server> servers,
            Random random)
            throws Exception {
        usualTraffic(sidecar);
        List<Kit.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Kit.Client(sidecar.port));
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) sidecar.fields.get("settings");
        boolean isOver = false;
        for (int round = 0; round < ROUNDS && !isOver; round++) {
            double startedMs = Kit.ms();
            settings.put("classes", round % 2 == 0 ? otherOrder : oneOrder);
            sidecar.write();
            burst(sidecar, clients, random.nextInt(CLIENTS / 2));
            isOver = UNANSWERED.get() > 0 || !repeatedBookings(servers).isEmpty();
            Thread.sleep(Math.max(0, (long) (startedMs + PERIOD_MS - Kit.ms())));
        }
    }

    /** One client after another, some tens of requests a second, as before any trouble. */
    private static void usualTraffic(Kit.Sidecar sidecar) throws Exception {
        try (Kit.Client client = new Kit.Client(sidecar.port)) {
            for (int i = 0; i < 150; i++) {
                client.send(Kit.head(Kit.newId(), "slot-lookup", true, null, 1500, 0), new byte[0]);
                client.receive(2000);
                Thread.sleep(10);
            }
        }
    }

    /** All clients send at about the same time; the new configuration comes in between. */
    private static void burst(Kit.Sidecar sidecar, List<Kit.Client> clients, int signalAt) throws Exception {
        List<String> ids = new ArrayList<>();
        List<byte[]> requests = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            ids.add(Kit.newId());
            boolean isLookup = i % 2 == 0;
            byte[] body = new byte[isLookup ? 0 : BODY_BYTES];
            String head = Kit.head(
                    ids.get(i), isLookup ? "slot-lookup" : "book-visit", isLookup, null, deadlineMs(i), body.length);
            requests.add(Kit.bytes(head, body));
        }
        double sendAtMs = Kit.ms();
        for (int i = 0; i < clients.size(); i++) {
            while (Kit.ms() < sendAtMs) {
                Thread.onSpinWait();
            }
            sendAtMs += SPACING_MS;
            if (i == signalAt && Kit.TROUBLE) {
                sidecar.signal("HUP");
            }
            clients.get(i).socket.getOutputStream().write(requests.get(i));
        }
        List<Thread> readers = new ArrayList<>();
        for (int n = 0; n < clients.size(); n++) {
            int i = n;
            readers.add(Kit.daemon(() -> {
                try {
                    Kit.Message answer = clients.get(i).receive(deadlineMs(i) + Kit.LATE_MS + 200);
                    STATUSES.computeIfAbsent(answer.status, k -> new AtomicInteger()).incrementAndGet();
                    Kit.note(ids.get(i) + " answered " + answer.status);
                } catch (IOException e) {
                    UNANSWERED.incrementAndGet();
                    Kit.note(ids.get(i) + " NO ANSWER: " + e);
                }
            }));
        }
        for (Thread reader : readers) {
            reader.join();
        }
    }

    private static long deadlineMs(int client) {
        return client % 2 == 0 ? 1500 : 6000;
    }

    private static List<String> repeatedBookings(List<Kit.Server> servers) {
        Map<String, Integer> times = new ConcurrentHashMap<>();
        for (Kit.Server server : servers) {
            server.received.forEach((id, at) -> {
                if ("book-visit".equals(server.classes.get(id))) {
                    times.merge(id, at.size(), Integer::sum);
                }
            });
        }
        List<String> repeated = new ArrayList<>();
        times.forEach((id, count) -> {
            if (count > 1) {
                repeated.add(id + " " + count + " times");
            }
        });
        return repeated;
    }
}
