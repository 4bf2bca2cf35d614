package martenlatch.fleet.gossip;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.IntPredicate;
import martenlatch.fleet.link.LinkConditions;

/**
 * A fault scenario for a fleet of members. Faults begin after {@link #SETTLE_MS}, when the members know each other,
 * and last for {@link #lastsMs}.
 */
enum PeerCase {
    CALM(10_000, (sim, n) -> {}),
    /** One member dies. */
    KILL(10_000, (sim, n) -> sim.kill(PeerCase.singleTarget(n))),
    PAUSE_HALF_SECOND(500, (sim, n) -> pauseMatching(sim, i -> i == PeerCase.singleTarget(n), 500)),
    PAUSE_2S(2000, (sim, n) -> pauseMatching(sim, i -> i == PeerCase.singleTarget(n), 2000)),
    PAUSE_10S(10_000, (sim, n) -> pauseMatching(sim, i -> i == PeerCase.singleTarget(n), 10_000)),
    PAUSE_THIRD_2S(2000, (sim, n) -> pauseMatching(sim, i -> i % 3 == 0, 2000)),
    PAUSE_THIRD_10S(10_000, (sim, n) -> pauseMatching(sim, i -> i % 3 == 0, 10_000)),
    /** One member is paused for a second, ten times, with half a second between two pauses. */
    PAUSE_AGAIN(15_000, (sim, n) -> {
        for (int i = 0; i < 10; i++) {
            sim.at(PeerCase.SETTLE_MS + i * 1500.0, () -> sim.pause(PeerCase.singleTarget(n)));
            sim.at(PeerCase.SETTLE_MS + i * 1500.0 + 1000, () -> sim.resume(PeerCase.singleTarget(n)));
        }
    }),
    LOSS_10(30_000, (sim, n) -> impairLinks(sim, (a, b) -> true, lossy(0.1), 30_000)),
    LOSS_30(30_000, (sim, n) -> impairLinks(sim, (a, b) -> true, lossy(0.3), 30_000)),
    LOSS_50(30_000, (sim, n) -> impairLinks(sim, (a, b) -> true, lossy(0.5), 30_000)),
    DELAY_2S(
            30_000,
            (sim, n) -> impairLinks(
                    sim,
                    (a, b) -> true,
                    new LinkConditions(0, 2000, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false),
                    30_000)),
    REORDER_DUPLICATE(
            30_000,
            (sim, n) -> impairLinks(
                    sim,
                    (a, b) -> true,
                    new LinkConditions(1, 50, 0, 0.3, 0.3, Double.POSITIVE_INFINITY, 0, false),
                    30_000)),
    /** Datagrams to one member are lost; those that it sends arrive. */
    DEAF_ONE(
            15_000,
            (sim, n) -> impairLinks(sim, (a, b) -> b == PeerCase.singleTarget(n), LinkConditions.SILENT, 15_000)),
    /** Datagrams from one member are lost; those sent to it arrive. */
    MUTE_ONE(
            15_000,
            (sim, n) -> impairLinks(sim, (a, b) -> a == PeerCase.singleTarget(n), LinkConditions.SILENT, 15_000)),
    /** The link between two members is cut in both directions. */
    CUT_PAIR(30_000, (sim, n) -> impairLinks(sim, (a, b) -> a + b == 1, LinkConditions.SILENT, 30_000)),
    /** Datagrams from one zone to the other are lost, but not those in the other direction. */
    ONE_WAY_ZONES(
            15_000, (sim, n) -> impairLinks(sim, (a, b) -> a % 2 == 0 && b % 2 == 1, LinkConditions.SILENT, 15_000)),
    SPLIT_6S(6000, (sim, n) -> impairLinks(sim, (a, b) -> a % 2 != b % 2, LinkConditions.SILENT, 6000)),
    SPLIT_60S(60_000, (sim, n) -> {
        impairLinks(sim, (a, b) -> a % 2 != b % 2, LinkConditions.SILENT, 60_000);
        for (int i = 0; i < n; i += 2 * Math.max(1, n / 10)) {
            int number = i;
            sim.at(PeerCase.SETTLE_MS + 20_000, () -> sim.kill(number));
            sim.at(PeerCase.SETTLE_MS + 23_000, () -> sim.start(number));
        }
    }),
    SPLIT_IN_THREE(15_000, (sim, n) -> impairLinks(sim, (a, b) -> a % 3 != b % 3, LinkConditions.SILENT, 15_000)),
    SEVEN_IN_TEN_KILLED(5000, (sim, n) -> {
        for (int i = 0; i < n; i++) {
            if (i % 10 < 7) {
                int number = i;
                sim.kill(number);
                sim.at(PeerCase.SETTLE_MS + 5000, () -> sim.start(number));
            }
        }
    }),
    ROLLING_RESTART(40_000, (sim, n) -> {
        for (int i = 0; i < n; i++) {
            int number = i;
            double at = PeerCase.SETTLE_MS + i * 10 / n * 4000.0;
            sim.at(at, () -> sim.leave(number, 2500));
            sim.at(at + 3500, () -> sim.start(number));
        }
    }),
    ZONE_LOST(5000, (sim, n) -> {
        for (int i = 0; i < n; i += 2) {
            int number = i;
            sim.kill(number);
            sim.at(PeerCase.SETTLE_MS + 5000, () -> sim.start(number));
        }
    });

    /** Time for a fleet whose members start together to learn of each other. */
    static final double SETTLE_MS = 15_000;
    /** Time to recover after the last fault. */
    static final double RECOVERY_MS = 20_000;

    /** Schedules the faults in a simulation that has reached their start. */
    interface Plan {
        void schedule(PeerSim sim, int members);
    }

    /** Selects links by sender and receiver. */
    interface Pair {
        boolean matches(int from, int to);
    }

    private final double lastsMs;
    private final Plan plan;

    PeerCase(double lastsMs, Plan plan) {
        this.lastsMs = lastsMs;
        this.plan = plan;
    }

    double lastsMs() {
        return lastsMs;
    }

    String optionName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the member that a fault of a single member affects. */
    static int singleTarget(int members) {
        return members / 2;
    }

    static List<String> optionNames() {
        return Arrays.stream(values()).map(PeerCase::optionName).toList();
    }

    /** Runs the scenario: starts all members together, applies the faults and leaves time to recover. */
    PeerSim play(int members, long seed, Membership.Maker maker) {
        PeerSim sim = new PeerSim(members, 2, seed, maker);
        sim.startAll(1000);
        sim.runUntil(SETTLE_MS);
        sim.resetByteCounts();
        schedule(sim);
        sim.runUntil(SETTLE_MS + lastsMs);
        sim.runUntil(SETTLE_MS + lastsMs + RECOVERY_MS);
        return sim;
    }

    /** Schedules the faults in a simulation that has reached their start. */
    void schedule(PeerSim sim) {
        plan.schedule(sim, sim.size());
    }

    private static void pauseMatching(PeerSim sim, IntPredicate who, double forMs) {
        for (int i = 0; i < sim.size(); i++) {
            if (who.test(i)) {
                int number = i;
                sim.pause(number);
                sim.at(SETTLE_MS + forMs, () -> sim.resume(number));
            }
        }
    }

    private static LinkConditions lossy(double share) {
        return new LinkConditions(0, 0, share, 0, 0, Double.POSITIVE_INFINITY, 0, false);
    }

    private static void impairLinks(PeerSim sim, Pair which, LinkConditions conditions, double forMs) {
        BiFunction<Integer, Integer, LinkConditions> links =
                (from, to) -> which.matches(from, to) ? conditions : LinkConditions.CLEAR;
        sim.setLinks(links);
        sim.at(SETTLE_MS + forMs, () -> sim.setLinks((from, to) -> LinkConditions.CLEAR));
    }
}
