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
 * Draws the faults of a run from a seed: within the run, each with an end, none on more than half of a
 * kind.
 */
public final class RandomFaults {

    private static final List<What> KINDS = List.of(
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
    private static final double FIRST_MS = 1000;
    /** Faults begin in this part of a run, so that what comes after them is seen. */
    private static final double PART = 0.5;

    private static final double LEAST_MS = 300;
    private static final double MOST_MS = 4000;
    private static final double HALF = 0.5;

    private RandomFaults() {}

    /** As many faults as {@code count}, instead of the scenario's own. */
    public static Scenario in(Scenario scenario, long seed, int count) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        double span = Math.max(0, scenario.seconds() * 1000 * PART - FIRST_MS);
        for (int i = 0; i < count; i++) {
            faults.add(one(scenario, random, FIRST_MS + random.nextDouble() * span));
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        List<Fault> numbered = new ArrayList<>();
        for (Fault one : faults) {
            numbered.add(new Fault(
                    numbered.size(),
                    one.atMs(),
                    one.forMs(),
                    one.what(),
                    one.who(),
                    one.to(),
                    one.onwards(),
                    one.backwards(),
                    one.share(),
                    one.jar(),
                    one.moves()));
        }
        return scenario.with(numbered);
    }

    private static Fault one(Scenario scenario, Random random, double at) {
        What what = KINDS.get(random.nextInt(KINDS.size()));
        double lasts = LEAST_MS + random.nextDouble() * (MOST_MS - LEAST_MS);
        double share = 0.1 + random.nextDouble() * HALF;
        return switch (what.aim()) {
            case SIDECARS ->
                new Fault(
                        0,
                        at,
                        lasts,
                        what,
                        some(scenario, Group.SIDECAR, random),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            case ENDPOINTS ->
                new Fault(
                        0,
                        at,
                        lasts,
                        what,
                        some(scenario, Group.ENDPOINT, random),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            case DISCOVERY ->
                new Fault(
                        0,
                        at,
                        lasts,
                        what,
                        List.of(Group.DISCOVERY.name(0)),
                        List.of(),
                        LinkConditions.CLEAR,
                        LinkConditions.CLEAR,
                        share,
                        "",
                        false);
            default -> link(scenario, random, at, lasts, what);
        };
    }

    private static Fault link(Scenario scenario, Random random, double at, double lasts, What what) {
        LinkConditions conduct = random.nextBoolean()
                ? LinkConditions.SILENT
                : new LinkConditions(
                        random.nextInt(300),
                        random.nextInt(100),
                        random.nextDouble() * HALF,
                        0,
                        0,
                        Double.POSITIVE_INFINITY,
                        0,
                        false);
        int direction = random.nextInt(3);
        boolean toDiscovery = random.nextInt(4) == 0;
        return new Fault(
                0,
                at,
                lasts,
                what,
                some(scenario, Group.SIDECAR, random),
                toDiscovery ? List.of(Group.DISCOVERY.name(0)) : some(scenario, Group.ENDPOINT, random),
                direction == 1 ? LinkConditions.CLEAR : conduct,
                direction == 2 ? LinkConditions.CLEAR : conduct,
                HALF,
                "",
                false);
    }

    private static List<String> some(Scenario scenario, Group group, Random random) {
        return new Selector(group, -1, "", Math.max(0.01, random.nextDouble() * HALF))
                .resolve(scenario.sizes(), random);
    }
}
