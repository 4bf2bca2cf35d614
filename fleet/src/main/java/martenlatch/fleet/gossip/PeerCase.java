package martenlatch.fleet.gossip;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.IntPredicate;
import martenlatch.fleet.link.LinkConditions;

/**
 * What befalls a fleet of members, which has had {@link #SETTLE_MS} to get to know itself. Faults begin then,
 * and last for {@link #lastsMs}.
 */
enum PeerCase {
    CALM(10_000, (sim, n) -> {}),
    /** One dies. */
    KILL(10_000, (sim, n) -> sim.kill(PeerCase.one(n))),
    PAUSE_HALF_SECOND(500, (sim, n) -> paused(sim, i -> i == PeerCase.one(n), 500)),
    PAUSE_2S(2000, (sim, n) -> paused(sim, i -> i == PeerCase.one(n), 2000)),
    PAUSE_10S(10_000, (sim, n) -> paused(sim, i -> i == PeerCase.one(n), 10_000)),
    PAUSE_THIRD_2S(2000, (sim, n) -> paused(sim, i -> i % 3 == 0, 2000)),
    PAUSE_THIRD_10S(10_000, (sim, n) -> paused(sim, i -> i % 3 == 0, 10_000)),
    /** One stands still for a second, again and again, with half a second between. */
    PAUSE_AGAIN(15_000, (sim, n) -> {
        for (int i = 0; i < 10; i++) {
            sim.at(PeerCase.SETTLE_MS + i * 1500.0, () -> sim.pause(PeerCase.one(n)));
            sim.at(PeerCase.SETTLE_MS + i * 1500.0 + 1000, () -> sim.resume(PeerCase.one(n)));
        }
    }),
    LOSS_10(30_000, (sim, n) -> on(sim, (a, b) -> true, lossy(0.1), 30_000)),
    LOSS_30(30_000, (sim, n) -> on(sim, (a, b) -> true, lossy(0.3), 30_000)),
    LOSS_50(30_000, (sim, n) -> on(sim, (a, b) -> true, lossy(0.5), 30_000)),
    DELAY_2S(
            30_000,
            (sim, n) -> on(
                    sim,
                    (a, b) -> true,
                    new LinkConditions(0, 2000, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false),
                    30_000)),
    REORDER_DUPLICATE(
            30_000,
            (sim, n) -> on(
                    sim,
                    (a, b) -> true,
                    new LinkConditions(1, 50, 0, 0.3, 0.3, Double.POSITIVE_INFINITY, 0, false),
                    30_000)),
    /** What others send to one is lost; what it sends arrives. */
    DEAF_ONE(15_000, (sim, n) -> on(sim, (a, b) -> b == PeerCase.one(n), LinkConditions.SILENT, 15_000)),
    /** What one sends is lost; what others send it arrives. */
    MUTE_ONE(15_000, (sim, n) -> on(sim, (a, b) -> a == PeerCase.one(n), LinkConditions.SILENT, 15_000)),
    /** Between two alone, both ways. */
    CUT_PAIR(30_000, (sim, n) -> on(sim, (a, b) -> a + b == 1, LinkConditions.SILENT, 30_000)),
    /** From one zone to the other, and not back. */
    ONE_WAY_ZONES(15_000, (sim, n) -> on(sim, (a, b) -> a % 2 == 0 && b % 2 == 1, LinkConditions.SILENT, 15_000)),
    SPLIT_6S(6000, (sim, n) -> on(sim, (a, b) -> a % 2 != b % 2, LinkConditions.SILENT, 6000)),
    SPLIT_60S(60_000, (sim, n) -> {
        on(sim, (a, b) -> a % 2 != b % 2, LinkConditions.SILENT, 60_000);
        for (int i = 0; i < n; i += 2 * Math.max(1, n / 10)) {
            int number = i;
            sim.at(PeerCase.SETTLE_MS + 20_000, () -> sim.kill(number));
            sim.at(PeerCase.SETTLE_MS + 23_000, () -> sim.start(number));
        }
    }),
    SPLIT_IN_THREE(15_000, (sim, n) -> on(sim, (a, b) -> a % 3 != b % 3, LinkConditions.SILENT, 15_000)),
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

    /** So long a fleet that starts all at once has to know itself. */
    static final double SETTLE_MS = 15_000;
    /** And so long after the last fault to know itself again. */
    static final double AFTER_MS = 20_000;

    /** Puts its faults into a run that stands at their beginning. */
    interface Plan {
        void into(PeerSim sim, int members);
    }

    /** Which of two: a sender and a receiver. */
    interface Pair {
        boolean is(int from, int to);
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

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Whom a fault of one hits. */
    static int one(int members) {
        return members / 2;
    }

    static List<String> words() {
        return Arrays.stream(values()).map(PeerCase::word).toList();
    }

    /** Plays it: a fleet starts all at once, the faults come, and time to get over them. */
    PeerSim play(int members, long seed, Membership.Maker maker) {
        PeerSim sim = new PeerSim(members, 2, seed, maker);
        sim.startAll(1000);
        sim.runUntil(SETTLE_MS);
        sim.countBytes();
        into(sim);
        sim.runUntil(SETTLE_MS + lastsMs);
        sim.runUntil(SETTLE_MS + lastsMs + AFTER_MS);
        return sim;
    }

    /** Puts its faults into a run that stands at their beginning. */
    void into(PeerSim sim) {
        plan.into(sim, sim.size());
    }

    private static void paused(PeerSim sim, IntPredicate who, double forMs) {
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

    private static void on(PeerSim sim, Pair which, LinkConditions conduct, double forMs) {
        BiFunction<Integer, Integer, LinkConditions> links =
                (from, to) -> which.is(from, to) ? conduct : LinkConditions.CLEAR;
        sim.links(links);
        sim.at(SETTLE_MS + forMs, () -> sim.links((from, to) -> LinkConditions.CLEAR));
    }
}
