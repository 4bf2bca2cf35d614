package martenlatch.policy;

/**
 * Knows how old the endpoint list may be. Balancers must know a change within {@link #MAX_LIST_AGE_MS} after discovery
 * has it and is reachable, however a poll or a watch ends. Only a response of discovery shows that the list is current;
 * an open watch that says nothing, and the end of a watch, show nothing.
 */
public final class EndpointListAge {

    /** The longest time until a change is known, once discovery has it and is reachable. */
    static final double MAX_LIST_AGE_MS = 6000;

    /** The time within which discovery answers or rejects a poll. */
    static final double POLL_DURATION_MS = 2000;

    /** When discovery last began a response that was applied; NaN before the first one. */
    private double confirmedAtMs = Double.NaN;

    /** Called when a response of discovery has been applied that began at this time. */
    public void onConfirmed(double responseStartedAtMs) {
        confirmedAtMs = responseStartedAtMs;
    }

    /** Returns the time since discovery last confirmed the list; 0 if it has not sent this process a list yet. */
    public double ageMs(double nowMs) {
        return Double.isNaN(confirmedAtMs) ? 0 : nowMs - confirmedAtMs;
    }

    /** Returns by how much the next poll may be delayed if changes may have been missed for this long. */
    static double remainingDelayMs(double unconfirmedMs) {
        return Math.max(0, MAX_LIST_AGE_MS - unconfirmedMs - POLL_DURATION_MS);
    }
}
