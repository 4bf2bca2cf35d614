package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.history.Event;

/**
 * No effect twice: an unsafe request runs once at the most, and is not called refused when it may have run.
 */
public final class DuplicateRunChecker implements RunChecker {

    @Override
    public String name() {
        return "twice";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> found = new ArrayList<>();
        for (RunRecord.RequestRecord one : run.requests()) {
            if (one.isUnsafe() && one.ran().size() > 1) {
                found.add(new Finding(
                        name(),
                        one.id(),
                        one.ran().get(1).atMs(),
                        "ran at " + one.ran().stream().map(Event::who).toList()));
            } else if (one.isUnsafe() && !one.ran().isEmpty() && one.end().startsWith("REFUSED")) {
                found.add(new Finding(
                        name(),
                        one.id(),
                        one.endedAt(),
                        "refused, though it ran at " + one.ran().get(0).who()));
            }
            if (one.ends().size() > 1) {
                found.add(new Finding(
                        name(),
                        one.id(),
                        one.ends().get(1).atMs(),
                        "ended " + one.ends().size() + " times for its client"));
            }
        }
        return found;
    }
}
