package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;

/**
 * Checks the test rig itself: whether the run followed its plan. A finding makes the run void, so that it neither
 * passes nor fails.
 */
public final class RigChecker implements RunChecker {

    /**
     * The largest delay of the rig with which a run counts. A larger delay equals the time that clients wait beyond
     * their deadlines, and half of the drain grace, so that the rig itself could cause a finding.
     */
    public static final double MAX_LATENESS_MS = 250;

    @Override
    public String name() {
        return "rig";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        if (run.missing() > 0) {
            findings.add(
                    new Finding(name(), "", 0, "the history has a gap: " + run.missing() + " events found no room"));
        }
        for (Event event : run.all(What.RIG)) {
            if (event.detail().startsWith("failed")) {
                findings.add(new Finding(name(), "", event.atMs(), event.detail()));
            } else if (Double.parseDouble(event.detail()) > MAX_LATENESS_MS) {
                findings.add(new Finding(
                        name(),
                        "",
                        event.atMs(),
                        event.who() + " was " + event.detail() + " ms late: the machine had no time for the rig"));
            }
        }
        for (RunRecord.RequestRecord request : run.requests()) {
            if (Double.isNaN(request.askedAtMs())) {
                findings.add(new Finding(
                        name(),
                        request.id(),
                        request.attempts().isEmpty()
                                ? request.executions().isEmpty()
                                        ? 0
                                        : request.executions().get(0).atMs()
                                : request.attempts().get(0).atMs(),
                        "the history has a gap: no client has sent this request"));
            } else if (request.attempts().isEmpty() && !request.executions().isEmpty()) {
                findings.add(new Finding(
                        name(),
                        request.id(),
                        request.executions().get(0).atMs(),
                        "the history has a gap: it ran, but went over no link"));
            }
        }
        return findings;
    }
}
