import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A sidecar is killed, endpoints begin to drain, discovery goes down for 8 s, and the sidecar is started again. Lists
 * are pushed, so what the agent has counts as told from the first moment of the new process. Checks that nothing new
 * comes to the draining endpoints from the new process after the grace.
 */
final class SilentAgent {

    private static final int ENDPOINTS = 8;
    private static final int DRAINING = 2;
    private static final long OUTAGE_MS = 8000;
    private static final long DRAIN_GRACE_MS = 800;
    private static final long SLACK_MS = 50;
    private static final int REQUESTS = 300;

    private static final Map<String, Integer> RESULTS = new TreeMap<>();

    public static void main(String[] args) throws IOException {
        Kit.main(SilentAgent::run);
    }

    private static boolean run() throws Exception {
        Map<String, Object> lookup = Kit.requestClass("slot-lookup", "repeatable", 500, 1500, 12, 0, 5000);
        Map<String, Object> book = Kit.requestClass("book-visit", "once", 1500, 6000, 1, 0, 5000);
        Kit.Handler sound = Kit.serves(200);
        List<Kit.Server> servers = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            servers.add(new Kit.Server("s-" + i, "lj-north", (server, request, socket) -> {
                if (server.state.equals("in_service")) {
                    sound.handle(server, request, socket);
                } else {
                    Kit.answer(socket, 503, "X-Not-Run: 1\r\n", new byte[0]);
                }
            }));
        }
        Kit.Discovery agent = new Kit.Discovery(servers);
        Map<String, Object> settings = Kit.settings(List.of(lookup, book), "pushed", 1);
        @SuppressWarnings("unchecked")
        Map<String, Object> rules = (Map<String, Object>) settings.get("rules");
        rules.put("drain-grace-ms", DRAIN_GRACE_MS);
        Kit.Sidecar sidecar = new Kit.Sidecar("n0", agent.port(), agent.whole(), settings);
        sidecar.start();
        sidecar.awaitReady(30_000);
        clients(sidecar, 60);
        sidecar.kill();
        for (int i = 0; i < DRAINING; i++) {
            agent.change(servers.get(i), "terminating");
        }
        Thread.sleep(1000);
        double upAgainMs = Kit.ms() + OUTAGE_MS;
        if (Kit.TROUBLE) {
            Kit.note("discovery is down; the agent is silent");
            agent.gate = (path, socket) -> {
                Thread.sleep(Math.max(0, (long) (upAgainMs - Kit.ms())));
                return true;
            };
        }
        Thread.sleep(1000);
        double startedMs = Kit.ms();
        sidecar.start();
        sidecar.awaitReady(30_000);
        clients(sidecar, REQUESTS);
        int broken = 0;
        for (Kit.Server server : servers.subList(0, DRAINING)) {
            for (List<Double> times : server.received.values()) {
                for (double atMs : times) {
                    broken += atMs > startedMs + DRAIN_GRACE_MS + SLACK_MS ? 1 : 0;
                }
            }
        }
        RESULTS.forEach((result, count) -> Kit.note(result + ": " + count));
        sidecar.noteLog();
        Kit.note("requests to draining endpoints after the grace: " + broken);
        return broken == 0;
    }

    private static void clients(Kit.Sidecar sidecar, int requests) throws Exception {
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            all.add(Kit.daemon(() -> {
                String id = Kit.newId();
                String result;
                try (Kit.Client client = new Kit.Client(sidecar.port)) {
                    client.send(Kit.head(id, "slot-lookup", true, null, 1500, 0), new byte[0]);
                    result = "status " + client.receive(2200).status;
                } catch (IOException e) {
                    result = "no answer: " + e;
                }
                Kit.note(id + " " + result);
                synchronized (RESULTS) {
                    RESULTS.merge(result, 1, Integer::sum);
                }
            }));
            Thread.sleep(25);
        }
        for (Thread each : all) {
            each.join();
        }
    }
}
