package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.scenario.Fault;

/**
 * The totals of a run. Requests are counted as clients sent them, including clients' retries.
 *
 * @param asked requests that clients sent
 * @param sent attempts that sidecars sent to endpoints
 * @param crossed requests that arrived on a connection while it was being closed; their clients send them again
 * @param listCalls sidecars' calls to discovery that discovery handled or rejected
 * @param listRefusals calls to discovery that were rejected because they had waited too long
 * @param recoveryMs time from the end of the last fault until the served share stays at or above 0.95 of its value
 *     before the first fault; NaN if there was no fault, infinite if service did not recover
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

    private static final double WARM_UP_MS = 1000;
    private static final double WINDOW_MS = 1000;
    private static final double WINDOW_STEP_MS = 250;
    private static final double RECOVERED_SHARE = 0.95;

    /** Computes the figures of a run. */
    public static Figures of(RunRecord run) {
        int[] counts = new int[8];
        List<double[]> outcomes = new ArrayList<>();
        for (RunRecord.RequestRecord request : run.requests()) {
            if (Double.isNaN(request.askedAtMs())) {
                continue;
            }
            counts[0]++;
            String outcome = request.outcome();
            boolean served = outcome.startsWith("SERVED");
            counts[
                    served
                            ? 1
                            : outcome.startsWith("REFUSED")
                                    ? 2
                                    : outcome.startsWith("FAILED") ? 3 : outcome.startsWith("NOT_SENT") ? 5 : 4]++;
            counts[6] += request.attempts().size();
            counts[7] += LostRequestChecker.isCrossed(run, request) ? 1 : 0;
            outcomes.add(new double[] {request.askedAtMs(), served ? 1 : 0});
        }
        List<Event> calls = run.all(Event.What.LIST_CALL);
        outcomes.sort(Comparator.comparingDouble(sample -> sample[0]));
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
                        .filter(call -> call.detail().equals("refused"))
                        .count(),
                computeRecoveryMs(run, outcomes));
    }

    /** Returns the share of the clients' requests that was served. */
    public double servedShare() {
        return asked == 0 ? 0 : served / (double) asked;
    }

    /** Returns the number of attempts per request. */
    public double amplification() {
        return asked == 0 ? 0 : sent / (double) asked;
    }

    private static double computeRecoveryMs(RunRecord run, List<double[]> outcomes) {
        List<Fault> faults = run.scenario().faults();
        if (faults.isEmpty()) {
            return Double.NaN;
        }
        double firstFaultMs = faults.stream().mapToDouble(Fault::atMs).min().orElse(0);
        double faultsEndMs = faults.stream()
                .mapToDouble(f -> Double.isInfinite(f.forMs()) ? f.atMs() : f.endMs())
                .max()
                .orElse(0);
        double shareBefore = shareServedBetween(outcomes, Math.min(WARM_UP_MS, firstFaultMs / 2), firstFaultMs);
        double lastWindowMs = run.scenario().seconds() * 1000 - WINDOW_MS;
        double recoveredAtMs = faultsEndMs;
        for (double atMs = faultsEndMs; atMs <= lastWindowMs; atMs += WINDOW_STEP_MS) {
            if (shareServedBetween(outcomes, atMs, atMs + WINDOW_MS) < RECOVERED_SHARE * shareBefore) {
                recoveredAtMs = atMs + WINDOW_STEP_MS;
            }
        }
        return recoveredAtMs > lastWindowMs ? Double.POSITIVE_INFINITY : recoveredAtMs - faultsEndMs;
    }

    private static double shareServedBetween(List<double[]> outcomes, double fromMs, double toMs) {
        double[] served = outcomes.stream()
                .filter(sample -> sample[0] >= fromMs && sample[0] < toMs)
                .mapToDouble(sample -> sample[1])
                .toArray();
        double sum = 0;
        for (double value : served) {
            sum += value;
        }
        return served.length == 0 ? 1 : sum / served.length;
    }
}
