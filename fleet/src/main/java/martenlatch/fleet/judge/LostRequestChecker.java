package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * No request lost: each that a living sidecar has taken gets one final answer by its deadline. Not a
 * sidecar's doing is what ends while it is dead or stands still, and what its link to the client spoils.
 */
public final class LostRequestChecker implements RunChecker {

    @Override
    public String name() {
        return "lost";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> found = new ArrayList<>();
        for (RunRecord.RequestRecord one : run.requests()) {
            if (Double.isNaN(one.askedAt()) || isAnswered(one.end()) || neverTaken(one.end()) || isCrossed(run, one)) {
                continue;
            }
            double until = Double.isInfinite(one.endedAt()) ? one.deadlineAt() : one.endedAt();
            if (run.wasAway(one.sidecar(), one.askedAt(), until)
                    || run.wasDisturbed("clients", one.sidecar(), one.askedAt(), until)) {
                continue;
            }
            found.add(new Finding(
                    name(),
                    one.id(),
                    until,
                    String.format(
                            Locale.ROOT,
                            "%s took it at %.0f ms, to be answered by %.0f ms: %s",
                            one.sidecar(),
                            one.askedAt(),
                            one.deadlineAt(),
                            one.end().isEmpty() ? "no end" : one.end())));
        }
        return found;
    }

    /** Whether an end is a final answer. */
    static boolean isAnswered(String end) {
        return end.startsWith("SERVED") || end.startsWith("REFUSED") || end.startsWith("FAILED status");
    }

    private static boolean neverTaken(String end) {
        return end.startsWith("NOT_SENT") || end.equals("FAILED no connect");
    }

    /**
     * A sidecar may close a connection between two requests; one that crosses this and was not read is sent
     * again by its client.
     */
    static boolean isCrossed(RunRecord run, RunRecord.RequestRecord one) {
        return one.sent().isEmpty()
                && (one.end().equals("FAILED closed") || one.end().equals("FAILED reset"))
                && run.wasLeaving(one.sidecar(), one.askedAt(), one.endedAt());
    }
}
