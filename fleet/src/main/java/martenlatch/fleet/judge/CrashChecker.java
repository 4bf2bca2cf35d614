package martenlatch.fleet.judge;

import java.util.List;
import martenlatch.fleet.history.Event.What;

/** No sidecar ends unless it was told to, nor with a status above 0 when it was asked to. */
public final class CrashChecker implements RunChecker {

    @Override
    public String name() {
        return "crash";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        return run.all(What.PROCESS).stream()
                .filter(event -> event.detail().startsWith("died"))
                .map(event -> new Finding(
                        name(),
                        "",
                        event.atMs(),
                        event.who() + " ended with status " + event.detail().substring("died ".length())))
                .toList();
    }
}
