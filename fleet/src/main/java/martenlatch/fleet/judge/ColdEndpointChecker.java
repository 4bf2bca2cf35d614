package martenlatch.fleet.judge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;
import martenlatch.world.WorldSettings;

/**
 * No cold endpoint pushed over: all sidecars together send it, in any window of the rule's, no more than
 * the rule's multiple of what it can do while it is cold.
 */
public final class ColdEndpointChecker implements RunChecker {

    /** What may come by chance beyond an expected number: three standard deviations of a Poisson count. */
    private static final double CHANCE = 3;

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        WorldSettings world = run.scenario().world();
        double expected = Rules.TIP_MULTIPLE
                * Rules.FALL_MS
                * world.slots()
                / Math.max(0.001, world.service().meanMs())
                / world.coldFactor();
        double most = expected + CHANCE * Math.sqrt(expected);
        List<Finding> found = new ArrayList<>();
        Map<String, List<Event>> byEndpoint = new HashMap<>();
        for (Event event : run.events()) {
            if (event.what() == What.RAN || event.what() == What.TURNED_AWAY) {
                byEndpoint.computeIfAbsent(event.who(), k -> new ArrayList<>()).add(event);
            }
        }
        for (Event up : run.all(What.ENDPOINT_UP)) {
            double warmAt = up.atMs() + Double.parseDouble(up.detail());
            Deque<Event> window = new ArrayDeque<>();
            for (Event event : byEndpoint.getOrDefault(up.who(), List.of())) {
                if (event.atMs() < up.atMs() || event.atMs() > warmAt) {
                    continue;
                }
                window.add(event);
                while (window.peek().atMs() < event.atMs() - Rules.FALL_MS) {
                    window.poll();
                }
                if (window.size() > most) {
                    found.add(new Finding(
                            name(),
                            event.id(),
                            event.atMs(),
                            String.format(
                                    Locale.ROOT,
                                    "%s had %d requests within %.0f ms while cold, at most %.0f",
                                    up.who(),
                                    window.size(),
                                    Rules.FALL_MS,
                                    most)));
                    break;
                }
            }
        }
        return found;
    }
}
