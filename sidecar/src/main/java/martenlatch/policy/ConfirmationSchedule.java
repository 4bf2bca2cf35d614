package martenlatch.policy;

import java.util.SplittableRandom;

/**
 * Decides when discovery has to confirm the endpoint list beside an open watch, which may have fallen silent. The
 * interval leaves the next poll the rest of {@link EndpointListAge#MAX_LIST_AGE_MS}; it is random, so that balancers
 * which were sent a change together do not poll together.
 *
 * <p>Confirmations must not overload discovery. As in congestion control by additive increase and multiplicative
 * decrease (Chiu and Jain, 1989), the rate is halved when discovery rejects a poll or lets it wait, and grows in steps
 * while it answers promptly. A large fleet starts with a lower rate.
 */
public final class ConfirmationSchedule {

    private static final double MAX_INTERVAL_MS = EndpointListAge.MAX_LIST_AGE_MS - EndpointListAge.POLL_DURATION_MS;

    private static final double MIN_INTERVAL_SHARE = 0.75; // lower bound on an interval, as a share of the upper one

    /** The time to the first byte from which on discovery counts as overloaded. */
    public static final double SLOW_RESPONSE_MS = 750;

    private static final double OVERLOAD_REJECTION_MS = 1500; // the wait for a rejection in a queue that is full
    private static final double PROMPT_RESPONSE_MS = 250; // the time to the first byte without a queue
    private static final double MAX_BACKOFF = 4; // upper bound on the factor of the interval
    private static final double RECOVERY_STEP = 0.5; // by which the factor decreases with each prompt response
    private static final double BALANCERS_AT_FULL_RATE = 50; // more of them start with longer intervals
    /** The first interval and a prompt response take no longer than the list may age and half of a drain's grace. */
    private static final double MAX_INITIAL_BACKOFF = 1.6;

    /** A watch is answered within this time if discovery already has a change and the connection works. */
    private static final double FIRST_AFTER_WATCH_MS = 750;

    /** The delay after a confirmation whose connection was lost, unless several were lost in a row. */
    private static final double RECONNECT_DELAY_MS = 250;

    private static final double MAX_UNREACHABLE_DELAY_MS = 3000; // upper bound while discovery says nothing
    private static final double UNCONFIRMED_DELAY_MS = 1000; // the delay after an answer that cannot be used

    private static final int MAX_RECONNECTS = 2; // connections lost in a row that are replaced at once

    private final SplittableRandom random;
    private double dueAtMs = Double.POSITIVE_INFINITY;
    private double backoff;
    private int lostInARow;
    private boolean isDiscoveryPrompt;

    /**
     * Creates a schedule in which nothing is due.
     *
     * @param balancerCount the number of balancers that poll discovery
     * @param random makes the random choices
     */
    public ConfirmationSchedule(int balancerCount, SplittableRandom random) {
        this.random = random;
        backoff = Math.max(1, Math.min(MAX_INITIAL_BACKOFF, balancerCount / BALANCERS_AT_FULL_RATE));
    }

    /** Returns the time at which the next confirmation is due; positive infinity before the first list. */
    public double dueAtMs() {
        return dueAtMs;
    }

    /** Returns whether discovery last answered promptly, so that a confirmation without a response is likely lost. */
    public boolean isDiscoveryPrompt() {
        return isDiscoveryPrompt;
    }

    /** Called when discovery has confirmed the list at this time, by a response to any poll. */
    public void onConfirmed(double confirmedAtMs) {
        lostInARow = 0;
        dueAtMs = confirmedAtMs + nextIntervalMs();
    }

    /** Called when a watch has been sent, whose response may confirm the list at once. */
    public void onWatchSent(double nowMs) {
        dueAtMs = Math.max(dueAtMs, nowMs + FIRST_AFTER_WATCH_MS / randomShare());
    }

    /** Called when discovery has begun to answer a poll without a wait, or has rejected it, after this time. */
    public void onResponseTime(double waitedMs) {
        isDiscoveryPrompt = waitedMs < PROMPT_RESPONSE_MS;
        if (isDiscoveryPrompt) {
            backoff = Math.max(1, backoff - RECOVERY_STEP);
        } else if (waitedMs >= SLOW_RESPONSE_MS) {
            backOff();
        }
    }

    /** Called when a confirmation has been answered; unless it confirms the list, the next one follows later. */
    public void onAnswered(double nowMs) {
        dueAtMs = Math.max(dueAtMs, nowMs + UNCONFIRMED_DELAY_MS * randomShare());
    }

    /** Called when a confirmation has no response yet, so that another one is sent beside it. */
    public void onResponseMissing() {
        backOff();
    }

    /**
     * Called when another poll has failed, so that discovery could not be reached until now. A rejection after a long
     * wait shows that more polls wait in a queue than discovery can answer.
     *
     * @param failedAfterMs the time since the poll was sent
     */
    public void onPollFailed(double nowMs, double failedAfterMs, boolean isRejected) {
        if (isRejected && failedAfterMs >= OVERLOAD_REJECTION_MS && failedAfterMs <= MAX_INTERVAL_MS) {
            backOff();
        }
        dueAtMs = nowMs + nextIntervalMs();
    }

    /** Called when discovery has rejected a confirmation: it has no room for them now. */
    public void onRejected(double nowMs) {
        backOff();
        dueAtMs = Math.max(dueAtMs, nowMs + nextIntervalMs());
    }

    /**
     * Called when a confirmation has failed without a word from discovery, which may have become reachable just after
     * the confirmation was sent.
     *
     * @param failedAfterMs the time since it was sent
     */
    public void onNoResponse(double nowMs, double failedAfterMs) {
        double delayMs = Math.min(MAX_UNREACHABLE_DELAY_MS, EndpointListAge.remainingDelayMs(failedAfterMs));
        dueAtMs = nowMs + Math.max(UNCONFIRMED_DELAY_MS, delayMs) * randomShare();
    }

    /** Called when the connection of a confirmation was lost, which says nothing about discovery. */
    public void onConnectionLost(double nowMs) {
        lostInARow++;
        double delayMs = lostInARow <= MAX_RECONNECTS ? RECONNECT_DELAY_MS * lostInARow : MAX_UNREACHABLE_DELAY_MS;
        dueAtMs = nowMs + delayMs * randomShare();
    }

    private void backOff() {
        isDiscoveryPrompt = false;
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
    }

    private double nextIntervalMs() {
        return backoff * MAX_INTERVAL_MS * randomShare();
    }

    private double randomShare() {
        return MIN_INTERVAL_SHARE + (1 - MIN_INTERVAL_SHARE) * random.nextDouble();
    }
}
