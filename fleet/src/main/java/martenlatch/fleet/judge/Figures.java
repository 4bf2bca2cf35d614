package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.scenario.Fault;

/**
 * A run in numbers; requests are counted as clients sent them, repeats among them.
 *
 * @param sent attempts by sidecars
 * @param crossed requests that met a connection being closed, which their clients send again
 * @param listCalls sidecars' calls to discovery that came to their turn, or were turned away
 * @param listRefusals those turned away, as they waited too long
 * @param recoveryMs from the end of the last fault until service stayed at 0.95 of what it was before the
 * first; NaN
 *     where there was no fault, infinite where it did not come back
 */
public record Figures(
        int asked,
        int served,
        int refused,
        int failed,
        int timedOut,
        int notSent,
        int sent,
        int crossed,
        int listCalls,
        int listRefusals,
        double recoveryMs) {

    private static final double WARM_MS = 1000;
    private static final double WINDOW_MS = 1000;
    private static final double STEP_MS = 250;
    private static final double BACK = 0.95;

    /** Of a run. */
    public static Figures of(RunRecord run) {
        int[] counts = new int[8];
        List<double[]> ends = new ArrayList<>();
        for (RunRecord.RequestRecord one : run.requests()) {
            if (Double.isNaN(one.askedAt())) {
                continue;
            }
            counts[0]++;
            String end = one.end();
            boolean served = end.startsWith("SERVED");
            counts[
                    served
                            ? 1
                            : end.startsWith("REFUSED")
                                    ? 2
                                    : end.startsWith("FAILED") ? 3 : end.startsWith("NOT_SENT") ? 5 : 4]++;
            counts[6] += one.sent().size();
            counts[7] += LostRequestChecker.isCrossed(run, one) ? 1 : 0;
            ends.add(new double[] {one.askedAt(), served ? 1 : 0});
        }
        List<Event> calls = run.all(Event.What.LIST_CALL);
        ends.sort(Comparator.comparingDouble(one -> one[0]));
        return new Figures(
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4],
                counts[5],
                counts[6],
                counts[7],
                calls.size(),
                (int) calls.stream()
                        .filter(one -> one.detail().equals("refused"))
                        .count(),
                recovery(run, ends));
    }

    /** The share of what clients wanted that was served. */
    public double servedShare() {
        return asked == 0 ? 0 : served / (double) asked;
    }

    /** Attempts for each request. */
    public double amplification() {
        return asked == 0 ? 0 : sent / (double) asked;
    }

    private static double recovery(RunRecord run, List<double[]> ends) {
        List<Fault> faults = run.scenario().faults();
        if (faults.isEmpty()) {
            return Double.NaN;
        }
        double first = faults.stream().mapToDouble(Fault::atMs).min().orElse(0);
        double over = faults.stream()
                .mapToDouble(f -> Double.isInfinite(f.forMs()) ? f.atMs() : f.endMs())
                .max()
                .orElse(0);
        double before = share(ends, Math.min(WARM_MS, first / 2), first);
        double last = run.scenario().seconds() * 1000 - WINDOW_MS;
        double recovered = over;
        for (double at = over; at <= last; at += STEP_MS) {
            if (share(ends, at, at + WINDOW_MS) < BACK * before) {
                recovered = at + STEP_MS;
            }
        }
        return recovered > last ? Double.POSITIVE_INFINITY : recovered - over;
    }

    private static double share(List<double[]> ends, double from, double to) {
        double[] of = ends.stream()
                .filter(one -> one[0] >= from && one[0] < to)
                .mapToDouble(one -> one[1])
                .toArray();
        double sum = 0;
        for (double one : of) {
            sum += one;
        }
        return of.length == 0 ? 1 : sum / of.length;
    }
}
