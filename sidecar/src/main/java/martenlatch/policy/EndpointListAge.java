package martenlatch.policy;

import martenlatch.policy.api.BalancerSettings;

/**
 * Knows how old the endpoint list may be, and whether requests may be forwarded by it. Only a response of discovery
 * shows that the list is current; an open watch that says nothing, the end of a watch, and the passing of time show
 * nothing.
 *
 * <p>If lists are polled, balancers must know a change within {@link #MAX_LIST_AGE_MS} after discovery has it and is
 * reachable, however a poll or a watch ends. Requests may be forwarded by any list.
 *
 * <p>If lists are pushed by a local agent, a change counts as notified once the agent has it, even if this process
 * cannot read it. Requests may therefore be forwarded only by a list of which the agent has told every change: there is
 * a {@link Doubt} from the start, from a move to another agent, or from the end of a watch until the agent has answered
 * a later poll. An agent that has lost its connection to discovery learns nothing and is silent on an open watch, so
 * that silence alone raises no doubt.
 */
public final class EndpointListAge {

    /** The reason why a local agent may know changes that the list in use lacks. */
    public enum Doubt {
        /** The agent has not answered since the process was started. */
        NEVER_CONFIRMED("the agent has not answered since the start"),
        /** The agent has not answered since the configuration named it. */
        MOVED("the agent of the new configuration has not answered"),
        /** A watch has failed, or its response is incomplete, and the agent has not answered since. */
        WATCH_BROKEN("the watch has failed and the agent has not answered since");

        private final String description;

        Doubt(String description) {
            this.description = description;
        }

        /** Returns the reason in words for operators. */
        public String description() {
            return description;
        }
    }

    /** The longest time until a change is known, once discovery has it and is reachable. */
    static final double MAX_LIST_AGE_MS = 6000;

    /** The time within which discovery answers or rejects a poll. */
    static final double POLL_DURATION_MS = 2000;

    /** The time after a move from which on the changes of the new agent count as notified. */
    private static final double NOTIFIED_AFTER_MOVE_MS = 4000;

    /** The part of a drain's grace that is kept for attempts that are being written when forwarding ends. */
    private static final double GRACE_RESERVE_MS = 300;

    /** The shortest time that the agent has to complete a response or to answer the next poll. */
    private static final double MIN_RECOVERY_MS = 20;

    /** The accuracy with which the start of a response is known. */
    private static final double CLOCK_TOLERANCE_MS = 1;

    private boolean pushed;
    private double drainGraceMs;
    /** When discovery last began a response that was applied; NaN before the first one. */
    private double confirmedAtMs = Double.NaN;
    /** The reason why the list may lack changes, or null if there is none. */
    private Doubt doubt;
    /** A response that began before this time does not end the doubt. */
    private double doubtSinceMs = Double.NEGATIVE_INFINITY;

    private double forwardUntilMs = Double.POSITIVE_INFINITY;
    /** Whether an operator has decided to forward requests in spite of a doubt. */
    private boolean trusted;

    /** Creates the state of a process that is starting: its list comes from the configuration and may be of any age. */
    public EndpointListAge(BalancerSettings settings) {
        apply(settings);
        if (pushed) {
            doubt = Doubt.NEVER_CONFIRMED;
            forwardUntilMs = Double.NEGATIVE_INFINITY;
        }
    }

    private void apply(BalancerSettings settings) {
        pushed = !settings.pollsEndpointList();
        drainGraceMs = settings.rules().drainGraceMs();
    }

    /** Called with new settings; a change between polled and pushed lists is followed by {@link #onMoved}. */
    public void onSettingsChanged(BalancerSettings settings) {
        apply(settings);
        if (!pushed) {
            endDoubt();
        }
    }

    /** Called when another discovery has to be polled, which has not answered yet. */
    public void onMoved(double nowMs) {
        raise(Doubt.MOVED, nowMs, nowMs + NOTIFIED_AFTER_MOVE_MS);
    }

    /** Called when a poll has failed, so that there was no open watch for a moment. */
    public void onWatchBroken(double nowMs) {
        raiseWatchBroken(nowMs);
    }

    /** Called with the first bytes of the response to an open watch; the doubt ends with a whole response. */
    public void onResponseStarted(double nowMs) {
        raiseWatchBroken(nowMs);
    }

    /** After a move the changes of the new agent count as notified at a time of their own, whatever it responds. */
    private void raiseWatchBroken(double nowMs) {
        boolean isMoved = doubt == Doubt.MOVED;
        raise(Doubt.WATCH_BROKEN, nowMs, isMoved ? forwardUntilMs : nowMs + recoveryMs());
    }

    private double recoveryMs() {
        return Math.max(MIN_RECOVERY_MS, drainGraceMs - GRACE_RESERVE_MS);
    }

    private void raise(Doubt next, double sinceMs, double untilMs) {
        if (!pushed) {
            return;
        }
        doubtSinceMs = sinceMs;
        if (doubt == null || untilMs < forwardUntilMs) {
            doubt = next;
            forwardUntilMs = untilMs;
        }
    }

    /**
     * Called when a response of discovery has been applied.
     *
     * @param responseStartedAtMs when the response began
     * @param isCurrentDiscovery whether it came from the discovery that is polled now, not from a previous one
     */
    public void onConfirmed(double responseStartedAtMs, boolean isCurrentDiscovery) {
        confirmedAtMs = responseStartedAtMs;
        if (isCurrentDiscovery && responseStartedAtMs >= doubtSinceMs - CLOCK_TOLERANCE_MS) {
            endDoubt();
        }
    }

    private void endDoubt() {
        doubt = null;
        trusted = false;
        forwardUntilMs = Double.POSITIVE_INFINITY;
    }

    /** Called when an operator has decided that requests are forwarded by the list in use until it is confirmed. */
    public void onTrusted() {
        trusted = doubt != null;
    }

    /** Returns whether requests may be forwarded by the list in use. */
    public boolean mayForward(double nowMs) {
        return trusted || nowMs < forwardUntilMs;
    }

    /** Returns the time at which forwarding has to end unless the list is confirmed; infinite if there is no doubt. */
    public double forwardUntilMs() {
        return trusted ? Double.POSITIVE_INFINITY : forwardUntilMs;
    }

    /** Returns the reason why the list may lack changes that count as notified, or null if there is none. */
    public Doubt doubt() {
        return doubt;
    }

    /** Returns whether requests are forwarded in spite of a doubt because an operator has decided so. */
    public boolean isTrusted() {
        return trusted;
    }

    /** Returns whether lists are pushed by a local agent, which answers at once. */
    public boolean isPushed() {
        return pushed;
    }

    /** Returns the time since discovery last confirmed the list; infinite if it never sent this process a list. */
    public double ageMs(double nowMs) {
        return Double.isNaN(confirmedAtMs) ? Double.POSITIVE_INFINITY : nowMs - confirmedAtMs;
    }

    /** Returns by how much the next poll may be delayed if changes may have been missed for this long. */
    static double remainingDelayMs(double unconfirmedMs) {
        return Math.max(0, MAX_LIST_AGE_MS - unconfirmedMs - POLL_DURATION_MS);
    }
}
