package martenlatch.fleet.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.scenario.Selector.Group;

/**
 * A run divided into time steps of equal length.
 *
 * @param stepMs the length of a step
 * @param counts by the name of the curve, one count for each step
 * @param states by sidecar, one state for each step: up, away or leaving
 */
record Timeline(double stepMs, Map<String, int[]> counts, Map<String, List<String>> states) {

    static final double STEP_MS = 250;

    /** Computes the timeline of a run. */
    static Timeline of(RunRecord run) {
        int steps = 1 + (int) (run.scenario().seconds() * 1000 / STEP_MS);
        Map<String, int[]> counts = new LinkedHashMap<>();
        List.of("asked", "served", "refused", "failed", "attempts", "open").forEach(n -> counts.put(n, new int[steps]));
        for (RunRecord.RequestRecord request : run.requests()) {
            if (Double.isNaN(request.askedAtMs())) {
                continue;
            }
            String outcome = request.outcome();
            increment(counts.get("asked"), request.askedAtMs());
            increment(
                    counts.get(
                            outcome.startsWith("SERVED")
                                    ? "served"
                                    : outcome.startsWith("REFUSED") ? "refused" : "failed"),
                    request.askedAtMs());
            request.attempts().forEach(sent -> increment(counts.get("attempts"), sent.atMs()));
            for (int i = stepOf(request.askedAtMs()) + 1;
                    i <= Math.min(steps - 1, stepOf(Math.min(1e9, request.endedAtMs())));
                    i++) {
                counts.get("open")[i]++;
            }
        }
        Map<String, List<String>> states = new LinkedHashMap<>();
        for (int i = 0; i < run.scenario().sizes().sidecars(); i++) {
            String name = Group.SIDECAR.name(i);
            List<String> sidecarStates = new ArrayList<>();
            for (int index = 0; index < steps; index++) {
                double fromMs = index * STEP_MS;
                sidecarStates.add(
                        run.wasUnavailable(name, fromMs, fromMs + STEP_MS)
                                ? "away"
                                : run.wasDraining(name, fromMs, fromMs + STEP_MS) ? "leaving" : "up");
            }
            states.put(name, sidecarStates);
        }
        return new Timeline(STEP_MS, counts, states);
    }

    private static int stepOf(double atMs) {
        return (int) (atMs / STEP_MS);
    }

    private static void increment(int[] counts, double atMs) {
        if (atMs >= 0 && stepOf(atMs) < counts.length) {
            counts[stepOf(atMs)]++;
        }
    }

    /** Returns the descriptions of the faults that began. */
    static List<String> faults(RunRecord run) {
        return run.all(What.FAULT_BEGINS).stream().map(Event::detail).toList();
    }
}
