package martenlatch.discovery;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * How long discovery is asked to wait for changes, and for how long a response is waited for, in milliseconds.
 *
 * @param waitMs how long discovery may wait for something newer
 * @param responseTimeoutMs the time after that within which a response is complete, and the time within which a
 *     response is complete that has begun
 * @param fullListTimeoutMs the time within which the whole list is complete
 */
public record PollTiming(long waitMs, double responseTimeoutMs, double fullListTimeoutMs) {

    /** The time within which the whole list is complete: a crowded discovery rejects what has waited for 2 s. */
    public static final int FULL_LIST_TIMEOUT_MS = 3_000;

    /** The time within which a connection is established. */
    static final int CONNECT_TIMEOUT_MS = 2_000;

    /** How long discovery waits for changes where it is to tell at once whether there are any. */
    private static final int NO_WAIT_MS = 1;

    /** The time within which a poll for the state of now is answered; a discovery rejects one that waited for 2 s. */
    private static final int CURRENT_STATE_TIMEOUT_MS = 3_000;

    /**
     * Bounds of the wait. A longer wait would show late that a watch is broken; a shorter one would not show it sooner
     * to the operators' check, which counts a missed change as notified 6 s after the watch broke at the earliest.
     */
    static final int MAX_WAIT_MS = 20_000;

    static final int MIN_WAIT_MS = 4_000;
    /**
     * A change that a broken watch misses counts as notified 2 s after its wait: half of that is for noticing, the
     * other half for polling again and for the response.
     */
    static final int RESPONSE_TIMEOUT_MS = 1_000;
    /**
     * A local agent responds at once and at no cost, and what it has counts as notified: after an outage it has to be
     * heard well within the grace of a drain.
     */
    private static final int AGENT_WAIT_MS = 300;

    private static final int AGENT_RESPONSE_TIMEOUT_MS = 100;

    /**
     * The timing of the next poll. Where the list is polled, discovery waits one to two poll intervals, at random:
     * watches that broke or ended together must not come back together. It costs no more polls than the settings allow.
     */
    public static PollTiming next(BalancerSettings settings, SplittableRandom random) {
        if (!settings.pollsEndpointList()) {
            return new PollTiming(AGENT_WAIT_MS, AGENT_RESPONSE_TIMEOUT_MS, AGENT_WAIT_MS);
        }
        double waitMs = settings.rules().pollIntervalMs() * (1 + random.nextDouble());
        long boundedMs = (long) Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, waitMs));
        return new PollTiming(boundedMs, RESPONSE_TIMEOUT_MS, FULL_LIST_TIMEOUT_MS);
    }

    /** Whether discovery answers at once, whatever there is to tell. */
    boolean isWithoutWait() {
        return waitMs == NO_WAIT_MS;
    }

    /**
     * The timing of a poll that discovery answers at once, also where nothing is newer: until one has been answered it
     * is unknown whether the list is current. A poll that is given up while it waits for its turn has to wait anew.
     */
    PollTiming withoutWait() {
        boolean isAgent = waitMs < MIN_WAIT_MS;
        return isAgent ? this : new PollTiming(NO_WAIT_MS, CURRENT_STATE_TIMEOUT_MS, fullListTimeoutMs);
    }
}
