package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.scenario.Fault;

/**
 * Drains kept: nothing new goes to an endpoint from the grace on after its sidecar was told that it drains
 * or is gone. Told counts when discovery has written it; where the way from there is disturbed, when that
 * is over, and at the latest as the platform says. A sidecar that stands still hears when it goes on. One
 * that has not asked for as long as its settings allow counts as told what it would have heard, and whatever
 * else is allowed, so does every sidecar 6 s after discovery had a change and could be reached, or 2 s after the
 * wait of a long poll that discovery has fallen silent on, if that is later; also one whose process began after
 * the change and has a list from before it.
 */
public final class DrainChecker implements RunChecker {

    /** A sidecar whose last call failed may wait for this multiple of what else is allowed. */
    private static final int FAILED_TIMES = 4;

    /** A call that discovery may hold back until there is something to tell, or until its wait is over. */
    private record LongPoll(double beganAtMs, double endsAtMs) {}

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> found = new ArrayList<>();
        double grace = run.scenario().world().drainGraceMs() + Rules.SOCKET_SLACK_MS;
        Map<String, Double> told = new HashMap<>();
        Map<String, Double> leaving = new HashMap<>();
        Map<String, Double> serving = new HashMap<>();
        Map<String, List<LongPoll>> longPolls = new HashMap<>();
        for (Event event : run.events()) {
            String pair = event.who() + " " + event.whom();
            if (event.what() == Event.What.PROCESS && event.detail().equals("serves")) {
                // A new process starts from the list of its start, and was told nothing else.
                told.keySet().removeIf(key -> key.startsWith(event.who() + " "));
                serving.put(event.who(), event.atMs());
            } else if (event.what() == Event.What.LIST_CALL) {
                endLongPoll(longPolls.get(event.who()), event.atMs());
            } else if (event.what() == Event.What.LONG_POLL) {
                longPolls
                        .computeIfAbsent(event.who(), sidecar -> new ArrayList<>())
                        .add(new LongPoll(event.atMs(), event.atMs() + Double.parseDouble(event.detail())));
            } else if (event.what() == Event.What.CHANGED && event.detail().equals("in_service")) {
                leaving.remove(event.whom());
            } else if (event.what() == Event.What.CHANGED) {
                leaving.putIfAbsent(event.whom(), event.atMs());
            } else if (event.what() == Event.What.TOLD && event.detail().equals("in_service")) {
                told.remove(pair);
            } else if (event.what() == Event.What.TOLD) {
                double arrived = Math.min(
                        event.atMs() + Rules.TOLD_WITHIN_MS, run.arrivesBy(event.who(), "discovery", event.atMs()));
                told.putIfAbsent(pair, run.backAt(event.who(), arrived));
            } else if (event.what() == Event.What.SENT
                    && told.containsKey(pair)
                    && event.atMs() > told.get(pair) + grace) {
                found.add(new Finding(
                        name(),
                        event.id(),
                        event.atMs(),
                        String.format(
                                Locale.ROOT,
                                "%s sent it to %s %.0f ms after it was told",
                                event.who(),
                                event.whom(),
                                event.atMs() - told.get(pair))));
            } else if (event.what() == Event.What.SENT
                    && leaving.containsKey(event.whom())
                    && !told.containsKey(pair)) {
                double changed = leaving.get(event.whom());
                double since = Math.max(changed, serving.getOrDefault(event.who(), 0.0));
                List<LongPoll> polls = longPolls.getOrDefault(event.who(), List.of());
                double polled = Math.min(due(run, event.who(), since), latest(run, event.who(), changed));
                double due = Math.max(polled, silentUntil(run, event.who(), changed, polls));
                double heard = run.backAt(event.who(), due);
                if (event.atMs() > heard + grace) {
                    found.add(new Finding(
                            name(),
                            event.id(),
                            event.atMs(),
                            String.format(
                                    Locale.ROOT,
                                    "%s sent it to %s %.0f ms after it would have heard, had it asked",
                                    event.who(),
                                    event.whom(),
                                    event.atMs() - heard)));
                }
            }
        }
        return found;
    }

    /** When a change made at this time counts as told, whatever a sidecar was allowed to wait for. */
    private static double latest(RunRecord run, String sidecar, double changed) {
        double latest = changed + Rules.TOLD_WITHIN_MS;
        for (Fault fault : run.scenario().faults()) {
            if (isDeaf(fault, sidecar) && fault.atMs() <= latest && fault.endMs() >= changed) {
                latest = Math.max(latest, fault.endMs() + Rules.TOLD_WITHIN_MS);
            }
        }
        return latest;
    }

    /**
     * When the wait of a long poll is over that discovery was silent on, and that a change was made in; a sidecar
     * cannot know any sooner that it is silent.
     */
    private static double silentUntil(RunRecord run, String sidecar, double changed, List<LongPoll> polls) {
        double until = 0;
        for (LongPoll poll : polls) {
            boolean isSilent = run.scenario().faults().stream()
                    .anyMatch(fault -> isSilence(fault, sidecar)
                            && fault.atMs() <= poll.endsAtMs()
                            && fault.endMs() >= poll.beganAtMs());
            if (isSilent && poll.beganAtMs() <= changed + Rules.TOLD_WITHIN_MS && changed <= poll.endsAtMs()) {
                until = Math.max(until, poll.endsAtMs() + Rules.LONG_POLL_SLACK_MS);
            }
        }
        return until;
    }

    /** A sidecar's next call shows that the one before is over. */
    private static void endLongPoll(List<LongPoll> polls, double atMs) {
        if (polls == null) {
            return;
        }
        LongPoll last = polls.remove(polls.size() - 1);
        polls.add(new LongPoll(last.beganAtMs(), Math.min(last.endsAtMs(), atMs)));
    }

    private static boolean isSilence(Fault fault, String sidecar) {
        return fault.what() == Fault.What.SILENT || fault.isOn(sidecar, "discovery");
    }

    /** Whether discovery, or the way to it, is at fault for this sidecar. */
    private static boolean isDeaf(Fault fault, String sidecar) {
        return fault.what().aim() == Fault.Aim.DISCOVERY || fault.isOn(sidecar, "discovery");
    }

    /**
     * When a change made at this time has been heard by whoever asks as often as the settings want. While
     * discovery, or the way to it, is at fault nothing can be heard; after it four times as long is allowed.
     */
    private static double due(RunRecord run, String sidecar, double since) {
        double askWithin = run.scenario().discovery().askWithinMs();
        double due = since + askWithin;
        for (Fault fault : run.scenario().faults()) {
            if (isDeaf(fault, sidecar) && fault.atMs() <= due && fault.endMs() >= since) {
                due = Math.max(due, fault.endMs() + FAILED_TIMES * askWithin);
            }
        }
        return due;
    }
}
