package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import martenlatch.fleet.history.Event;

/**
 * Drains kept: nothing new goes to an endpoint from the grace on after its sidecar was told that it drains
 * or is gone. Told counts when discovery has written it; where the way from there is disturbed, when that
 * is over, and at the latest as the platform says. A sidecar that stands still hears when it goes on.
 */
public final class DrainJudge implements Judge {

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public List<Finding> judge(Record run) {
        List<Finding> found = new ArrayList<>();
        double grace = run.scenario().world().drainGraceMs() + Rules.SOCKET_SLACK_MS;
        Map<String, Double> told = new HashMap<>();
        for (Event event : run.events()) {
            String pair = event.who() + " " + event.whom();
            if (event.what() == Event.What.PROCESS && event.detail().equals("serves")) {
                // A new process starts from the list of its start, and was told nothing else.
                told.keySet().removeIf(key -> key.startsWith(event.who() + " "));
            } else if (event.what() == Event.What.TOLD && event.detail().equals("in_service")) {
                told.remove(pair);
            } else if (event.what() == Event.What.TOLD) {
                double arrived = Math.min(event.atMs() + Rules.TOLD_WITHIN_MS,
                    run.clearAt(event.who(), "discovery", event.atMs()));
                told.putIfAbsent(pair, run.backAt(event.who(), arrived));
            } else if (event.what() == Event.What.SENT && told.containsKey(pair)
                    && event.atMs() > told.get(pair) + grace) {
                found.add(new Finding(name(), event.id(), event.atMs(), String.format(Locale.ROOT,
                    "%s sent it to %s %.0f ms after it was told", event.who(), event.whom(),
                    event.atMs() - told.get(pair))));
            }
        }
        return found;
    }
}
