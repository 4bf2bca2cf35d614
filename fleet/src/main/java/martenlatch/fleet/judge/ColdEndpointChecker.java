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
 * Checks that sidecars do not overload a cold endpoint: in any window of {@link Rules#FALL_MS}, all sidecars together
 * send it at most {@link Rules#TIP_MULTIPLE} times what it can serve while it is cold.
 */
public final class ColdEndpointChecker implements RunChecker {

    /** Standard deviations of a Poisson count that are allowed above the expected number of requests. */
    private static final double ALLOWED_DEVIATIONS = 3;

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        WorldSettings world = run.scenario().world();
        double expectedRequests = Rules.TIP_MULTIPLE
                * Rules.FALL_MS
                * world.slots()
                / Math.max(0.001, world.service().meanMs())
                / world.coldFactor();
        double maxRequests = expectedRequests + ALLOWED_DEVIATIONS * Math.sqrt(expectedRequests);
        List<Finding> findings = new ArrayList<>();
        Map<String, List<Event>> arrivalsByEndpoint = new HashMap<>();
        for (Event event : run.events()) {
            if (event.what() == What.RAN || event.what() == What.TURNED_AWAY) {
                arrivalsByEndpoint
                        .computeIfAbsent(event.who(), k -> new ArrayList<>())
                        .add(event);
            }
        }
        for (Event start : run.all(What.ENDPOINT_UP)) {
            double warmAtMs = start.atMs() + Double.parseDouble(start.detail());
            Deque<Event> window = new ArrayDeque<>();
            for (Event event : arrivalsByEndpoint.getOrDefault(start.who(), List.of())) {
                if (event.atMs() < start.atMs() || event.atMs() > warmAtMs) {
                    continue;
                }
                window.add(event);
                while (window.peek().atMs() < event.atMs() - Rules.FALL_MS) {
                    window.poll();
                }
                if (window.size() > maxRequests) {
                    findings.add(new Finding(
                            name(),
                            event.id(),
                            event.atMs(),
                            String.format(
                                    Locale.ROOT,
                                    "%s had %d requests within %.0f ms while cold, at most %.0f",
                                    start.who(),
                                    window.size(),
                                    Rules.FALL_MS,
                                    maxRequests)));
                    break;
                }
            }
        }
        return findings;
    }
}
