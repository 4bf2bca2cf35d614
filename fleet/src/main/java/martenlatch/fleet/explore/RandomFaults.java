package martenlatch.fleet.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.scenario.Fault;
import martenlatch.fleet.scenario.Fault.What;
import martenlatch.fleet.scenario.Scenario;
import martenlatch.fleet.scenario.Selector;
import martenlatch.fleet.scenario.Selector.Group;

/**
 * Draws the faults of a run from a seed. Each fault begins within the run, has an end, and affects at most half of the
 * parts of a kind.
 */
public final class RandomFaults {

    private static final List<What> DRAWN_KINDS = List.of(
            What.PAUSE,
            What.CRAWL,
            What.KILL,
            What.TERM,
            What.RESTART,
            What.HANG,
            What.ERROR,
            What.SLOW,
            What.RESET,
            What.DIE,
            What.DRAIN,
            What.SILENT,
            What.DOWN,
            What.LINK,
            What.LINK,
            What.LINK,
            What.BREAK);
    private static final double FIRST_START_MS = 1000;
    /** Faults begin within this share of a run, so that the run also covers the time after them. */
    private static final double START_SHARE = 0.5;

    private static final double MIN_DURATION_MS = 300;
    private static final double MAX_DURATION_MS = 4000;
    /** Upper bound of drawn shares: of affected parts, of lost data, and of remaining speed above 0.1. */
    private static final double MAX_SHARE = 0.5;

    private RandomFaults() {}

    /** Returns the scenario with {@code count} random faults in place of its own. */
    public static Scenario in(Scenario scenario, long seed, int count) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        double startRangeMs = Math.max(0, scenario.seconds() * 1000 * START_SHARE - FIRST_START_MS);
        for (int i = 0; i < count; i++) {
            faults.add(drawFault(scenario, random, FIRST_START_MS + random.nextDouble() * startRangeMs));
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        List<Fault> numbered = new ArrayList<>();
        for (Fault fault : faults) {
            numbered.add(new Fault(
                    numbered.size(),
                    fault.atMs(),
                    fault.forMs(),
                    fault.what(),
                    fault.who(),
                    fault.to(),
                    fault.onwards(),
                    fault.backwards(),
                    fault.share(),
                    fault.jar(),
                    fault.moves()));
        }
        return scenario.with(numbered);
    }

    private static Fault drawFault(Scenario scenario, Random random, double atMs) {
        What what = DRAWN_KINDS.get(random.nextInt(DRAWN_KINDS.size()));
        double durationMs = MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS);
        double share = 0.1 + random.nextDouble() * MAX_SHARE;
        return switch (what.aim()) {
            case SIDECARS ->
                new Fault(
                        0,
                        atMs,
                        durationMs,
                        what,
                        drawParts(scenario, Group.SIDECAR, random),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            case ENDPOINTS ->
                new Fault(
                        0,
                        atMs,
                        durationMs,
                        what,
                        drawParts(scenario, Group.ENDPOINT, random),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            case DISCOVERY ->
                new Fault(
                        0,
                        atMs,
                        durationMs,
                        what,
                        List.of(Group.DISCOVERY.name(0)),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            default -> drawLinkFault(scenario, random, atMs, durationMs, what);
        };
    }

    private static Fault drawLinkFault(Scenario scenario, Random random, double atMs, double durationMs, What what) {
        LinkConditions conditions = random.nextBoolean()
                ? LinkConditions.SILENT
                : new LinkConditions(
                        random.nextInt(300),
                        random.nextInt(100),
                        random.nextDouble() * MAX_SHARE,
                        0,
                        0,
                        Double.POSITIVE_INFINITY,
                        0,
                        false);
        int direction = random.nextInt(3);
        boolean toDiscovery = random.nextInt(4) == 0;
        return new Fault(
                0,
                atMs,
                durationMs,
                what,
                drawParts(scenario, Group.SIDECAR, random),
                toDiscovery ? List.of(Group.DISCOVERY.name(0)) : drawParts(scenario, Group.ENDPOINT, random),
                direction == 1 ? LinkConditions.CLEAR : conditions,
                direction == 2 ? LinkConditions.CLEAR : conditions,
                MAX_SHARE,
                "",
                false);
    }

    private static List<String> drawParts(Scenario scenario, Group group, Random random) {
        return new Selector(group, -1, "", Math.max(0.01, random.nextDouble() * MAX_SHARE))
                .resolve(scenario.sizes(), random);
    }
}
