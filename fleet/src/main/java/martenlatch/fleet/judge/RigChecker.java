package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;

/**
 * The rig itself: whether the run was what its plan says. A finding makes the run void: it says nothing of
 * the program, neither good nor bad.
 */
public final class RigChecker implements RunChecker {

    /**
     * Beyond this the rig's own lateness is as large as what clients wait beyond their deadlines, and half
     * of the grace of drains: a finding could be its own.
     */
    public static final double MOST_LATE_MS = 250;

    @Override
    public String name() {
        return "rig";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> found = new ArrayList<>();
        if (run.missing() > 0) {
            found.add(new Finding(name(), "", 0, "the history has a gap: " + run.missing() + " events found no room"));
        }
        for (Event event : run.all(What.RIG)) {
            if (event.detail().startsWith("failed")) {
                found.add(new Finding(name(), "", event.atMs(), event.detail()));
            } else if (Double.parseDouble(event.detail()) > MOST_LATE_MS) {
                found.add(new Finding(
                        name(),
                        "",
                        event.atMs(),
                        event.who() + " was " + event.detail() + " ms late: the machine had no time for the rig"));
            }
        }
        for (RunRecord.RequestRecord one : run.requests()) {
            if (Double.isNaN(one.askedAt())) {
                found.add(new Finding(
                        name(),
                        one.id(),
                        one.sent().isEmpty()
                                ? one.ran().isEmpty() ? 0 : one.ran().get(0).atMs()
                                : one.sent().get(0).atMs(),
                        "the history has a gap: no client has sent this request"));
            } else if (one.sent().isEmpty() && !one.ran().isEmpty()) {
                found.add(new Finding(
                        name(),
                        one.id(),
                        one.ran().get(0).atMs(),
                        "the history has a gap: it ran, but went over no link"));
            }
        }
        return found;
    }
}
