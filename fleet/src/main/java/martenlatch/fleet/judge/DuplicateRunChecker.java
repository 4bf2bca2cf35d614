package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.history.Event;

/**
 * Checks that no request takes effect twice: an unsafe request runs at most once, and is not answered as refused if
 * it may have run. It also checks that no request ends more than once for its client.
 */
public final class DuplicateRunChecker implements RunChecker {

    @Override
    public String name() {
        return "twice";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        for (RunRecord.RequestRecord request : run.requests()) {
            if (request.isUnsafe() && request.executions().size() > 1) {
                findings.add(new Finding(
                        name(),
                        request.id(),
                        request.executions().get(1).atMs(),
                        "ran at "
                                + request.executions().stream().map(Event::who).toList()));
            } else if (request.isUnsafe()
                    && !request.executions().isEmpty()
                    && request.outcome().startsWith("REFUSED")) {
                findings.add(new Finding(
                        name(),
                        request.id(),
                        request.endedAtMs(),
                        "refused, though it ran at "
                                + request.executions().get(0).who()));
            }
            if (request.ends().size() > 1) {
                findings.add(new Finding(
                        name(),
                        request.id(),
                        request.ends().get(1).atMs(),
                        "ended " + request.ends().size() + " times for its client"));
            }
        }
        return findings;
    }
}
