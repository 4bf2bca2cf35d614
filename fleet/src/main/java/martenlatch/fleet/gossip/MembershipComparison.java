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

/** Runs fault scenarios with each failure detector on the same seeds and reports the results. */
public final class MembershipComparison {

    private static final Map<String, Membership.Maker> WAYS = new TreeMap<>(Map.of(
            "ours", GossipUnderTest::new,
            "swim", (self, told, zone, seed, wire) -> new PlainSwim(self, told, seed, wire),
            "heartbeats", (self, told, zone, seed, wire) -> new Heartbeats(false, self, told, seed, wire),
            "phi-accrual", (self, told, zone, seed, wire) -> new Heartbeats(true, self, told, seed, wire)));

    /**
     * The results of one failure detector over several seeds.
     *
     * @param wronglyFaulty how often, per run, a running member was declared faulty by another
     * @param bytesPerSecond average bytes per second that a member sends from the start of the faults on
     * @param worstSecond maximum number of messages sent by one member in one second
     * @param firstMs median time until the first member detects a death; NaN if no death was detected
     * @param allMs 99th percentile over seeds of the time until all members have detected it
     * @param whole whether in every run all running members believe each other alive at the end
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
        /** Returns the result as a row of a Markdown table. */
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

    /** Returns the names of all failure detectors. */
    public static Set<String> ways() {
        return WAYS.keySet();
    }

    /** Returns the names of all fault scenarios. */
    public static List<String> cases() {
        return PeerCase.optionNames();
    }

    /** Runs one scenario with one failure detector on the seeds 1 to {@code seeds}. */
    public static Result measure(String way, String what, int members, int seeds) {
        Membership.Maker maker = WAYS.get(way);
        if (maker == null) {
            throw new IllegalArgumentException("--ways must be of " + ways() + " but is \"" + way + "\"");
        }
        PeerCase played = PeerCase.valueOf(constantName(what));
        int wronglyFaulty = 0;
        long worst = 0;
        double bytes = 0;
        boolean whole = true;
        Histogram first = new Histogram(3);
        Histogram all = new Histogram(3);
        for (int seed = 1; seed <= seeds; seed++) {
            PeerSim sim = played.play(members, seed, maker);
            wronglyFaulty += sim.wronglyFaulty();
            worst = Math.max(worst, sim.maxMessagesPerSecond());
            for (int i = 0; i < members; i++) {
                bytes += sim.bytes(i) / ((sim.now() - PeerCase.SETTLE_MS) / 1000) / members / seeds;
            }
            for (int i = 0; i < members && whole; i++) {
                whole = !sim.runs(i) || sim.allBelieve(i, PeerState.ALIVE);
            }
            if (played == PeerCase.KILL) {
                recordDetection(sim, PeerCase.singleTarget(members), first, all);
            }
        }
        return new Result(
                way,
                members,
                what,
                (double) wronglyFaulty / seeds,
                bytes,
                worst,
                first.getTotalCount() == 0 ? Double.NaN : first.getValueAtPercentile(50),
                all.getTotalCount() == 0 ? Double.NaN : all.getValueAtPercentile(99),
                whole);
    }

    private static String constantName(String what) {
        if (!PeerCase.optionNames().contains(what)) {
            throw new IllegalArgumentException("--cases must be of " + cases() + " but is \"" + what + "\"");
        }
        return what.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static void recordDetection(PeerSim sim, int dead, Histogram first, Histogram all) {
        Set<Integer> detectedBy = new HashSet<>();
        List<Double> times = new ArrayList<>();
        for (PeerSim.Change change : sim.changes()) {
            if (change.peer() == dead && change.now() == PeerState.FAULTY && detectedBy.add(change.observer())) {
                times.add(change.atMs() - PeerCase.SETTLE_MS);
            }
        }
        times.sort(null);
        if (!times.isEmpty()) {
            first.recordValue(Math.max(0, (long) (double) times.get(0)));
            // A member that never detected the death counts as having detected it at the end.
            all.recordValue(
                    times.size() < sim.size() - 1
                            ? (long) (sim.now() - PeerCase.SETTLE_MS)
                            : (long) (double) times.get(times.size() - 1));
        }
    }
}
