package martenlatch.fleet.rig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import martenlatch.fleet.judge.Rules;
import martenlatch.fleet.launch.SidecarProcess;
import martenlatch.fleet.scenario.Load;
import martenlatch.fleet.scenario.Scenario;
import martenlatch.load.LoadClass;

/** Creates the JSON configuration that the platform would give to a sidecar. */
final class SidecarConfig {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;

    private SidecarConfig() {}

    /** The peer addresses of a sidecar: the one it listens at, the one for each peer, and the one for all peers. */
    record Peers(InetSocketAddress listen, List<InetSocketAddress> each, InetSocketAddress all) {}

    /**
     * Returns the configuration of one sidecar.
     *
     * @param known the endpoint list that it starts from, as discovery's JSON
     */
    static String of(
            Scenario scenario,
            int number,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            Peers peers,
            String known) {
        try {
            ObjectNode config = JSON.createObjectNode();
            config.put("name", "n" + number)
                    .put("listen", text(listen))
                    .put("discovery", text(discovery))
                    .put("seed", SidecarProcess.seed());
            config.put("peer_listen", text(peers.listen())).put("peers_all", text(peers.all()));
            ArrayNode each = config.putArray("peers");
            peers.each().forEach(peer -> each.add(text(peer)));
            config.putObject("limits")
                    .put("cores", 1.0)
                    .put("memory_mb", MEMORY_MB)
                    .put("sockets", SOCKETS);
            config.set("known", JSON.readTree(known));
            ObjectNode settings = config.putObject("settings");
            List<String> zones = scenario.sizes().zones();
            ArrayNode names = settings.putArray("azs");
            zones.forEach(names::add);
            settings.putArray("models").add("stand-in");
            settings.put("replicas-of-me", scenario.sizes().sidecars())
                    .put("slot-no", number)
                    .put("tier", 0)
                    .put("zone", number % zones.size())
                    .put("membership-mode", "on_request");
            ArrayNode classes = settings.putArray("classes");
            for (Load.ClassSettings one : scenario.load().classes()) {
                ObjectNode kind = classes.addObject();
                kind.put("name", one.kind().name())
                        .put("effect", effect(one.kind().effect()))
                        .put("group", "all")
                        .put("hard-limit-ms", one.kind().deadlineMs())
                        .put("slo-ms", one.aimMs())
                        .put("worth", one.worth())
                        .put("memory-span-ms", 10_000);
            }
            settings.putObject("limits")
                    .put("cancel", true)
                    .put("dial-timeout-ms", 150)
                    .put("idle-close-ms", 15_000)
                    .put("max-retry-after-ms", 2000)
                    .put("parallel-tries", true)
                    .put("retry-after", true)
                    .put("try-limit", 3);
            settings.putObject("rules")
                    .put("cold-share", 1 / scenario.world().coldFactor())
                    .put("cold-ms", scenario.world().coldMs())
                    .put("tip-multiple", Rules.TIP_MULTIPLE)
                    .put("fall-ms", Rules.FALL_MS)
                    .put("drain-grace-ms", scenario.world().drainGraceMs())
                    .put("ask-within-ms", scenario.discovery().askWithinMs());
            return JSON.writeValueAsString(config);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String effect(LoadClass.Effect effect) {
        return switch (effect) {
            case REPEATABLE -> "repeatable";
            case KEYED -> "by_key";
            case UNSAFE -> "once";
        };
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
