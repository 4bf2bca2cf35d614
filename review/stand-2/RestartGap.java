import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Planned restarts, one sidecar after another, while four in ten endpoints hang and clients send requests. */
final class RestartGap {

    private static final int CLIENTS = Integer.getInteger("clients", 40);
    private static final int SIDECARS = Integer.getInteger("sidecars", 4);
    private static final int WAVES = Integer.getInteger("waves", 5);
    /** The longest deadline (3 s at most) and 0.7 s. */
    private static final long KILL_MS = 3700;
    private static final long DEADLINE_MS = 5000;

    private static volatile boolean hanging;
    private static final AtomicInteger lost = new AtomicInteger();
    private static final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();

    public static void main(String[] args) throws IOException {
        Kit.main(RestartGap::run);
    }

    private static boolean run() throws Exception {
        Map<String, Object> payment = Kit.requestClass("bill-payment", "once", 2000, DEADLINE_MS, 5, 0.25, 5000);
        Map<String, Object> lookup = Kit.requestClass("bill-lookup", "repeatable", 500, 1500, 1, 0, 5000);
        List<Kit.Server> servers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            boolean hangs = i % 10 < 4;
            Kit.Handler sound = Kit.serves(20);
            servers.add(new Kit.Server("s-" + i, "lj-north", (server, request, socket) -> {
                if (hangs && hanging) {
                    Kit.note("endpoint " + server.id + " hangs with " + request.header("X-Request-Id"));
                    Thread.sleep(19_000);
                }
                sound.handle(server, request, socket);
            }));
        }
        Kit.Discovery discovery = new Kit.Discovery(servers);
        for (int wave = 0; wave < WAVES && lost.get() == 0; wave++) {
            List<Kit.Sidecar> sidecars = new ArrayList<>();
            hanging = false;
            for (int i = 0; i < SIDECARS; i++) {
                Kit.Sidecar sidecar = new Kit.Sidecar(
                        "n" + wave + "-" + i,
                        discovery.port(),
                        discovery.whole(),
                        Kit.settings(List.of(payment, lookup), "on_request", 1));
                sidecar.start();
                sidecars.add(sidecar);
            }
            for (Kit.Sidecar sidecar : sidecars) {
                sidecar.awaitReady(30_000);
            }
            Thread.sleep(1200);
            hanging = true;
            List<Thread> restarts = new ArrayList<>();
            for (int i = 0; i < SIDECARS; i++) {
                int n = i;
                Random random = new Random(wave * 100 + n);
                restarts.add(Kit.daemon(() -> {
                    try {
                        Thread.sleep(150L * n);
                        restart(sidecars.get(n), random);
                    } catch (Exception e) {
                        Kit.note("restart failed: " + e);
                    }
                }));
            }
            for (Thread restart : restarts) {
                restart.join();
            }
            if (lost.get() > 0) {
                sidecars.forEach(Kit.Sidecar::noteLog);
            }
        }
        statuses.forEach((status, count) -> Kit.note("answers with status " + status + ": " + count));
        Kit.note("requests lost: " + lost.get());
        return lost.get() == 0;
    }

    private static void restart(Kit.Sidecar sidecar, Random random) throws Exception {
        List<Kit.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Kit.Client(sidecar.port));
        }
        Thread.sleep(100);
        int at = 5 + random.nextInt(CLIENTS - 10);
        String[] ids = new String[CLIENTS];
        double termMs = Double.NaN;
        for (int i = 0; i < CLIENTS; i++) {
            if (i == at) {
                termMs = Kit.ms();
                if (Kit.TROUBLE) {
                    sidecar.signal("TERM");
                }
            }
            ids[i] = Kit.newId();
            clients.get(i).send(Kit.head(ids[i], "bill-payment", false, null, DEADLINE_MS, 0), new byte[0]);
        }
        double sentMs = Kit.ms();
        double term = termMs;
        List<Thread> readers = new ArrayList<>();
        for (int n = 0; n < CLIENTS; n++) {
            int i = n;
            readers.add(Kit.daemon(() -> {
                try {
                    Kit.Message answer = clients.get(i).receive(DEADLINE_MS + Kit.LATE_MS + 200);
                    statuses.computeIfAbsent(answer.status, k -> new AtomicInteger()).incrementAndGet();
                    Kit.note(ids[i] + " at " + sidecar.name + " answered " + answer.status);
                } catch (IOException e) {
                    Kit.note(ids[i] + " at " + sidecar.name + " NO ANSWER: " + e);
                    lost.incrementAndGet();
                }
            }));
        }
        if (Kit.TROUBLE) {
            Thread.sleep(Math.max(0, (long) (term + KILL_MS - Kit.ms())));
            sidecar.kill();
        }
        for (Thread reader : readers) {
            reader.join();
        }
        if (!Kit.TROUBLE) {
            sidecar.kill();
        }
        Kit.note("sidecar " + sidecar.name + ": sent within " + (sentMs - term) + " ms of SIGTERM");
    }
}
