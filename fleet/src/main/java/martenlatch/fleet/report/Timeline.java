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
 * A run in steps of time.
 *
 * @param stepMs how long each is
 * @param counts by name, one for each step
 * @param states by sidecar, one for each step: up, away or leaving
 */
record Timeline(double stepMs, Map<String, int[]> counts, Map<String, List<String>> states) {

    static final double STEP_MS = 250;

    static Timeline of(RunRecord run) {
        int steps = 1 + (int) (run.scenario().seconds() * 1000 / STEP_MS);
        Map<String, int[]> counts = new LinkedHashMap<>();
        List.of("asked", "served", "refused", "failed", "attempts", "open").forEach(n -> counts.put(n, new int[steps]));
        for (RunRecord.RequestRecord one : run.requests()) {
            if (Double.isNaN(one.askedAt())) {
                continue;
            }
            String end = one.end();
            add(counts.get("asked"), one.askedAt());
            add(
                    counts.get(end.startsWith("SERVED") ? "served" : end.startsWith("REFUSED") ? "refused" : "failed"),
                    one.askedAt());
            one.sent().forEach(sent -> add(counts.get("attempts"), sent.atMs()));
            for (int i = step(one.askedAt()) + 1; i <= Math.min(steps - 1, step(Math.min(1e9, one.endedAt()))); i++) {
                counts.get("open")[i]++;
            }
        }
        Map<String, List<String>> states = new LinkedHashMap<>();
        for (int i = 0; i < run.scenario().sizes().sidecars(); i++) {
            String name = Group.SIDECAR.name(i);
            List<String> of = new ArrayList<>();
            for (int step = 0; step < steps; step++) {
                double from = step * STEP_MS;
                of.add(
                        run.wasAway(name, from, from + STEP_MS)
                                ? "away"
                                : run.wasLeaving(name, from, from + STEP_MS) ? "leaving" : "up");
            }
            states.put(name, of);
        }
        return new Timeline(STEP_MS, counts, states);
    }

    private static int step(double ms) {
        return (int) (ms / STEP_MS);
    }

    private static void add(int[] counts, double atMs) {
        if (atMs >= 0 && step(atMs) < counts.length) {
            counts[step(atMs)]++;
        }
    }

    /** Faults that began, in words. */
    static List<String> faults(RunRecord run) {
        return run.all(What.FAULT_BEGINS).stream().map(Event::detail).toList();
    }
}
