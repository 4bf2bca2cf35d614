package martenlatch.fleet.gossip;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenlatch.gossip.PeerState;
import org.HdrHistogram.Histogram;

/** Plays cases with each way to know who lives, on the same seeds, and says what came of them. */
public final class MembershipComparison {

    private static final Map<String, Membership.Maker> WAYS = new TreeMap<>(Map.of(
            "ours", GossipUnderTest::new,
            "swim", (self, told, zone, seed, wire) -> new PlainSwim(self, told, seed, wire),
            "heartbeats", (self, told, zone, seed, wire) -> new Heartbeats(false, self, told, seed, wire),
            "phi-accrual", (self, told, zone, seed, wire) -> new Heartbeats(true, self, told, seed, wire)));

    /**
     * What one way came to over some seeds.
     *
     * @param wronglyFaulty times that a member which ran was called faulty by another, for each play
     * @param bytesPerSecond sent by a member from the fault on, on average
     * @param worstSecond messages sent by one member in one second, the most
     * @param firstMs until the first noticed a death, median; NaN where nobody dies
     * @param allMs until all had, 99th percentile over seeds
     * @param whole whether at the end all that run believe each other alive, in every play
     */
    public record Result(
            String way,
            int members,
            String what,
            double wronglyFaulty,
            double bytesPerSecond,
            long worstSecond,
            double firstMs,
            double allMs,
            boolean whole) {
        /** As a row of a table. */
        public String row() {
            return String.format(
                    Locale.ROOT,
                    "| %s | %s | %d | %.2f | %.0f | %d | %s | %s | %s |",
                    what,
                    way,
                    members,
                    wronglyFaulty,
                    bytesPerSecond,
                    worstSecond,
                    text(firstMs),
                    text(allMs),
                    whole ? "yes" : "no");
        }

        private static String text(double ms) {
            return Double.isNaN(ms) ? "" : String.format(Locale.ROOT, "%.1f s", ms / 1000);
        }
    }

    private MembershipComparison() {}

    /** All ways there are. */
    public static Set<String> ways() {
        return WAYS.keySet();
    }

    /** All cases there are. */
    public static List<String> cases() {
        return PeerCase.words();
    }

    /** Plays one case one way, on seeds from 1 on. */
    public static Result measure(String way, String what, int members, int seeds) {
        Membership.Maker maker = WAYS.get(way);
        if (maker == null) {
            throw new IllegalArgumentException("--ways must be of " + ways() + " but is \"" + way + "\"");
        }
        PeerCase played = PeerCase.valueOf(named(what));
        int wrong = 0;
        long worst = 0;
        double bytes = 0;
        boolean whole = true;
        Histogram first = new Histogram(3);
        Histogram all = new Histogram(3);
        for (int seed = 1; seed <= seeds; seed++) {
            PeerSim sim = played.play(members, seed, maker);
            wrong += sim.wronglyFaulty();
            worst = Math.max(worst, sim.messagesOnWorstSecond());
            for (int i = 0; i < members; i++) {
                bytes += sim.bytes(i) / ((sim.now() - PeerCase.SETTLE_MS) / 1000) / members / seeds;
            }
            for (int i = 0; i < members && whole; i++) {
                whole = !sim.runs(i) || sim.allBelieve(i, PeerState.ALIVE);
            }
            if (played == PeerCase.KILL) {
                detection(sim, PeerCase.one(members), first, all);
            }
        }
        return new Result(
                way,
                members,
                what,
                (double) wrong / seeds,
                bytes,
                worst,
                first.getTotalCount() == 0 ? Double.NaN : first.getValueAtPercentile(50),
                all.getTotalCount() == 0 ? Double.NaN : all.getValueAtPercentile(99),
                whole);
    }

    private static String named(String what) {
        if (!PeerCase.words().contains(what)) {
            throw new IllegalArgumentException("--cases must be of " + cases() + " but is \"" + what + "\"");
        }
        return what.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static void detection(PeerSim sim, int dead, Histogram first, Histogram all) {
        Set<Integer> knows = new HashSet<>();
        List<Double> times = new ArrayList<>();
        for (PeerSim.Change change : sim.changes()) {
            if (change.peer() == dead && change.now() == PeerState.FAULTY && knows.add(change.who())) {
                times.add(change.atMs() - PeerCase.SETTLE_MS);
            }
        }
        times.sort(null);
        if (!times.isEmpty()) {
            first.recordValue(Math.max(0, (long) (double) times.get(0)));
            // Who never noticed counts as having noticed at the end.
            all.recordValue(
                    times.size() < sim.size() - 1
                            ? (long) (sim.now() - PeerCase.SETTLE_MS)
                            : (long) (double) times.get(times.size() - 1));
        }
    }
}
