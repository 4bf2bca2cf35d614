package martenlatch.discovery;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * The timing of a poll: how long discovery may hold the response, and the timeouts of the response.
 *
 * @param waitMs how long discovery may hold the response back until there is a newer version
 * @param responseTimeoutMs the time after {@code waitMs} by which the response must have begun
 * @param fullListTimeoutMs the time by which the response to a poll for the whole list must have begun
 * @param stallTimeoutMs the longest time without bytes of a response that has begun
 * @param maxResponseMs the time that a response may take while bytes of it arrive, before another poll is sent
 * @param isAgent whether a local agent is polled, which answers at once and is polled often
 */
public record PollTiming(
        long waitMs,
        double responseTimeoutMs,
        double fullListTimeoutMs,
        double stallTimeoutMs,
        double maxResponseMs,
        boolean isAgent) {

    /** The timeout of a poll for the whole list. An overloaded discovery rejects polls that have waited for 2 s. */
    public static final int FULL_LIST_TIMEOUT_MS = 3_000;

    /** The timeout for establishing a connection to discovery. */
    static final int CONNECT_TIMEOUT_MS = 2_000;

    /** The wait of a poll that discovery answers at once, whether or not there is a newer version. */
    private static final int NO_WAIT_MS = 1;

    /** The timeout of a poll without a wait; an overloaded discovery rejects polls that have waited for 2 s. */
    private static final int NO_WAIT_TIMEOUT_MS = 3_000;

    /** The maximum wait of a watch. A longer wait would delay the detection of a broken watch. */
    static final int MAX_WAIT_MS = 20_000;

    /**
     * The minimum wait of a watch. A shorter wait would have no benefit: the operators' check counts a change that a
     * broken watch misses as notified 6 s after the watch broke at the earliest.
     */
    static final int MIN_WAIT_MS = 4_000;
    /**
     * The response timeout of a watch. A change that a broken watch misses counts as notified 2 s after the end of the
     * wait: one half of that is for detecting the broken watch, the other half for the next poll and its response.
     */
    static final int RESPONSE_TIMEOUT_MS = 1_000;

    /**
     * The time after which a response of which bytes keep arriving is slow. A change counts as notified 6 s after
     * discovery has it; 2 s of that are for another poll and its response, in case the slow one never ends.
     */
    static final int MAX_RESPONSE_MS = 4_000;

    /**
     * The wait of a poll of the local agent. The agent responds at once and polls of it are cheap. Its changes count as
     * notified, so after an outage its list has to arrive well within the grace period of a drain.
     */
    private static final int AGENT_WAIT_MS = 300;

    private static final int AGENT_RESPONSE_TIMEOUT_MS = 100;

    /** The longest wait of a poll of the local agent that is sent again because its connection was lost. */
    private static final int AGENT_RESEND_WAIT_MS = 100;

    /**
     * Returns the timing of the next poll. If lists are polled, the wait is one to two poll intervals at random, so
     * that watches that broke or ended together do not restart together. This needs no more polls than the settings
     * allow.
     */
    public static PollTiming next(BalancerSettings settings, SplittableRandom random) {
        if (!settings.pollsEndpointList()) {
            return new PollTiming(
                    AGENT_WAIT_MS,
                    AGENT_RESPONSE_TIMEOUT_MS,
                    AGENT_WAIT_MS,
                    AGENT_RESPONSE_TIMEOUT_MS,
                    AGENT_RESPONSE_TIMEOUT_MS,
                    true);
        }
        double waitMs = settings.rules().pollIntervalMs() * (1 + random.nextDouble());
        long boundedMs = (long) Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, waitMs));
        return new PollTiming(
                boundedMs, RESPONSE_TIMEOUT_MS, FULL_LIST_TIMEOUT_MS, RESPONSE_TIMEOUT_MS, MAX_RESPONSE_MS, false);
    }

    /** Returns whether discovery answers at once, whether or not there is a newer version. */
    boolean isWithoutWait() {
        return waitMs == NO_WAIT_MS;
    }

    /**
     * Returns the timing of a poll that discovery answers at once, even if there is no newer version. Until such a poll
     * has been answered it is unknown whether the list is current. The timeout exceeds the time that a poll may spend
     * in the queue of discovery, because a poll that is aborted there has to queue again.
     */
    PollTiming withoutWait() {
        double timeoutMs = isAgent ? AGENT_WAIT_MS + AGENT_RESPONSE_TIMEOUT_MS : NO_WAIT_TIMEOUT_MS;
        return new PollTiming(NO_WAIT_MS, timeoutMs, fullListTimeoutMs, stallTimeoutMs, maxResponseMs, isAgent);
    }

    /** Returns the timing of a poll that is sent again; an agent then has to confirm the list soon. */
    PollTiming forResending() {
        return isAgent && waitMs > AGENT_RESEND_WAIT_MS
                ? new PollTiming(
                        AGENT_RESEND_WAIT_MS, responseTimeoutMs, fullListTimeoutMs, stallTimeoutMs, maxResponseMs, true)
                : this;
    }
}
