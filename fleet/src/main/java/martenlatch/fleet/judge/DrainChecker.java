package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.scenario.Fault;

/**
 * Checks that sidecars respect drains: a sidecar sends no new request to an endpoint once the drain grace has passed
 * after the sidecar was notified that the endpoint drains or is gone.
 *
 * <p>If discovery has written the change to it, a sidecar counts as notified at that time or, if a fault is on the
 * link then, when the fault is over, but at most {@link Rules#NOTIFIED_WITHIN_MS} after the write.
 *
 * <p>Otherwise it counts as notified when it would have heard the change by polling as often as its settings require,
 * but at most {@link Rules#NOTIFIED_WITHIN_MS} after discovery had the change and was reachable. This includes a
 * process that started after the change with an older list. If discovery left a long poll unanswered, the sidecar has
 * time until {@link Rules#LONG_POLL_SLACK_MS} after the wait of that poll, if that is later, unless the poll ended
 * before. Discovery is reachable while only connections that are open already are silent.
 *
 * <p>A sidecar that is paused at that time counts as notified when it resumes.
 */
public final class DrainChecker implements RunChecker {

    /** A sidecar whose last call failed may wait for this multiple of the usual poll interval. */
    private static final int FAILED_CALL_MULTIPLE = 4;

    /** A call that discovery may leave open until the list changes, or until the wait of the call is over. */
    private record LongPoll(double beganAtMs, double endsAtMs) {}

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        double graceMs = run.scenario().world().drainGraceMs() + Rules.SOCKET_SLACK_MS;
        Map<String, Double> notifiedAtMs = new HashMap<>();
        Map<String, Double> leavingSinceMs = new HashMap<>();
        Map<String, Double> servingSinceMs = new HashMap<>();
        Map<String, List<LongPoll>> longPolls = new HashMap<>();
        for (Event event : run.events()) {
            String pair = event.who() + " " + event.whom();
            if (event.what() == Event.What.PROCESS && event.detail().equals("serves")) {
                // A new process knows only the list that it starts with.
                notifiedAtMs.keySet().removeIf(key -> key.startsWith(event.who() + " "));
                servingSinceMs.put(event.who(), event.atMs());
            } else if (event.what() == Event.What.LIST_CALL) {
                endLongPoll(longPolls.get(event.who()), event.atMs());
            } else if (event.what() == Event.What.LONG_POLL_ENDED) {
                longPolls.remove(event.who());
            } else if (event.what() == Event.What.LONG_POLL) {
                longPolls
                        .computeIfAbsent(event.who(), sidecar -> new ArrayList<>())
                        .add(new LongPoll(event.atMs(), event.atMs() + Double.parseDouble(event.detail())));
            } else if (event.what() == Event.What.CHANGED && event.detail().equals("in_service")) {
                leavingSinceMs.remove(event.whom());
            } else if (event.what() == Event.What.CHANGED) {
                leavingSinceMs.putIfAbsent(event.whom(), event.atMs());
            } else if (event.what() == Event.What.TOLD && event.detail().equals("in_service")) {
                notifiedAtMs.remove(pair);
            } else if (event.what() == Event.What.TOLD) {
                double arrivedAtMs = Math.min(
                        event.atMs() + Rules.NOTIFIED_WITHIN_MS,
                        run.arrivesByMs(event.who(), "discovery", event.atMs()));
                notifiedAtMs.putIfAbsent(pair, run.availableAgainAtMs(event.who(), arrivedAtMs));
            } else if (event.what() == Event.What.SENT
                    && notifiedAtMs.containsKey(pair)
                    && event.atMs() > notifiedAtMs.get(pair) + graceMs) {
                findings.add(new Finding(
                        name(),
                        event.id(),
                        event.atMs(),
                        String.format(
                                Locale.ROOT,
                                "%s sent it to %s %.0f ms after it was told",
                                event.who(),
                                event.whom(),
                                event.atMs() - notifiedAtMs.get(pair))));
            } else if (event.what() == Event.What.SENT
                    && leavingSinceMs.containsKey(event.whom())
                    && !notifiedAtMs.containsKey(pair)) {
                double changedAtMs = leavingSinceMs.get(event.whom());
                double sinceMs = Math.max(changedAtMs, servingSinceMs.getOrDefault(event.who(), 0.0));
                List<LongPoll> polls = longPolls.getOrDefault(event.who(), List.of());
                double pollDueMs = Math.min(
                        pollDeadlineMs(run, event.who(), sinceMs), latestNotificationMs(run, event.who(), changedAtMs));
                double dueMs = Math.max(pollDueMs, unansweredPollEndMs(run, event.who(), changedAtMs, polls));
                double heardAtMs = run.availableAgainAtMs(event.who(), dueMs);
                if (event.atMs() > heardAtMs + graceMs) {
                    findings.add(new Finding(
                            name(),
                            event.id(),
                            event.atMs(),
                            String.format(
                                    Locale.ROOT,
                                    "%s sent it to %s %.0f ms after it would have heard, had it asked",
                                    event.who(),
                                    event.whom(),
                                    event.atMs() - heardAtMs)));
                }
            }
        }
        return findings;
    }

    /** Returns the time by which a change counts as notified, whatever poll interval the sidecar is allowed. */
    private static double latestNotificationMs(RunRecord run, String sidecar, double changedAtMs) {
        double latestMs = changedAtMs + Rules.NOTIFIED_WITHIN_MS;
        for (Fault fault : run.scenario().faults()) {
            if (isUnreachable(fault, sidecar) && fault.atMs() <= latestMs && fault.endMs() >= changedAtMs) {
                latestMs = Math.max(latestMs, fault.endMs() + Rules.NOTIFIED_WITHIN_MS);
            }
        }
        return latestMs;
    }

    /**
     * Returns when the sidecar must have noticed that discovery left a long poll unanswered in which the change was
     * made, or 0 if there is none. It cannot notice this before the wait of the long poll is over.
     */
    private static double unansweredPollEndMs(RunRecord run, String sidecar, double changedAtMs, List<LongPoll> polls) {
        double untilMs = 0;
        for (LongPoll poll : polls) {
            boolean isSilent = run.scenario().faults().stream()
                    .anyMatch(fault -> isDiscoverySilent(fault, sidecar)
                            && fault.atMs() <= poll.endsAtMs()
                            && fault.endMs() >= poll.beganAtMs());
            if (isSilent
                    && poll.beganAtMs() <= changedAtMs + Rules.NOTIFIED_WITHIN_MS
                    && changedAtMs <= poll.endsAtMs()) {
                untilMs = Math.max(untilMs, poll.endsAtMs() + Rules.LONG_POLL_SLACK_MS);
            }
        }
        return untilMs;
    }

    /** Ends the last long poll, because the sidecar's next call shows that it is over. */
    private static void endLongPoll(List<LongPoll> polls, double atMs) {
        if (polls == null) {
            return;
        }
        LongPoll last = polls.remove(polls.size() - 1);
        polls.add(new LongPoll(last.beganAtMs(), Math.min(last.endsAtMs(), atMs)));
    }

    private static boolean isDiscoverySilent(Fault fault, String sidecar) {
        return fault.what() == Fault.What.SILENT
                || fault.what() != Fault.What.STALL && fault.isOn(sidecar, "discovery");
    }

    /** Returns whether a fault keeps this sidecar from hearing discovery: on discovery or on the link to it. */
    private static boolean isUnreachable(Fault fault, String sidecar) {
        return fault.what().aim() == Fault.Aim.DISCOVERY
                || fault.what() != Fault.What.STALL && fault.isOn(sidecar, "discovery");
    }

    /**
     * Returns when a change has reached any sidecar that polls as often as its settings require. No change arrives
     * while discovery or the link to it is faulty; after the fault {@link #FAILED_CALL_MULTIPLE} times the poll
     * interval is allowed.
     */
    private static double pollDeadlineMs(RunRecord run, String sidecar, double sinceMs) {
        double pollIntervalMs = run.scenario().discovery().askWithinMs();
        double dueMs = sinceMs + pollIntervalMs;
        for (Fault fault : run.scenario().faults()) {
            if (isUnreachable(fault, sidecar) && fault.atMs() <= dueMs && fault.endMs() >= sinceMs) {
                dueMs = Math.max(dueMs, fault.endMs() + FAILED_CALL_MULTIPLE * pollIntervalMs);
            }
        }
        return dueMs;
    }
}
