package martenlatch.policy;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * Decides when discovery is polled. A change counts as notified {@link #MAX_LIST_AGE_MS} after discovery had it and
 * could be reached. The latest moment from which on that counts is when the present poll was sent: what that poll has
 * taken, the delay after it and the time of the next poll share this budget. Delays are random because balancers that
 * start, fail or move together must not poll together: a quick failure leaves more time to spread them.
 */
final class EndpointListPolling {

    private static final double MAX_LIST_AGE_MS = 6000;
    private static final double POLL_DURATION_MS = 2000; // in which discovery answers a poll or rejects it
    private static final double MIN_DELAY_MS = 1000; // bounds of what delays are drawn from
    private static final double MAX_DELAY_MS = 3000;
    private static final double START_DELAY_MS = 2000; // for a process that serves nobody until its list is current
    private static final double FIRST_FAILURE_INTERVALS = 0.5; // the longest delay in poll intervals, by failures
    private static final int MAX_FAILURE_INTERVALS = 3;

    private final SplittableRandom random;
    /** When the last poll was sent. */
    private double polledAtMs = Double.NEGATIVE_INFINITY;
    /** When the next poll is due; infinite while none is scheduled. */
    private double dueAtMs = Double.POSITIVE_INFINITY;

    /** Discovery has moved since the last poll was sent. */
    private boolean hasMoved;

    private int failures;

    EndpointListPolling(SplittableRandom random) {
        this.random = random;
    }

    /** The delay of the first poll; the time of the start is not known yet. */
    double delayAtStart(BalancerSettings settings) {
        dueAtMs = Double.NEGATIVE_INFINITY;
        return random.nextDouble() * spreadOverFleet(settings, START_DELAY_MS);
    }

    /** A list has come, and the watch goes on; one from before the last move does not replace the poll that is due. */
    void onList() {
        failures = 0;
        if (!hasMoved) {
            dueAtMs = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * A list has come and no watch is open, as after the first poll of a process; returns the delay of the poll that
     * starts one. It comes after the first polls of a fleet that starts together: otherwise those would wait behind
     * watches, which are not urgent while the list is as young.
     */
    double delayAfterFirstList(double nowMs, BalancerSettings settings) {
        double withinMs = Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2);
        double delayMs = withinMs * (1 + random.nextDouble()) / 2;
        dueAtMs = Math.min(dueAtMs, nowMs + spreadOverFleet(settings, delayMs));
        return Math.max(0, dueAtMs - nowMs);
    }

    /** The poll has failed, or the watch has ended; returns the delay of the next poll. */
    double delayAfterFailure(double nowMs, BalancerSettings settings) {
        double intervals = Math.min(Math.max(FIRST_FAILURE_INTERVALS, failures++), MAX_FAILURE_INTERVALS);
        double allowedMs = intervals * settings.rules().pollIntervalMs();
        return schedule(nowMs, Math.min(allowedMs, maxDelayAfterFailureMs(nowMs - polledAtMs)));
    }

    /**
     * Discovery is at another address from now on; returns the delay of the first poll there. A poll that is due before
     * is not put off.
     */
    double delayAfterMove(double nowMs, BalancerSettings settings) {
        hasMoved = true;
        double allowedMs = Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2);
        return schedule(nowMs, spreadOverFleet(settings, allowedMs));
    }

    /** Whether a poll is due now; it counts as sent then. Timers of polls that were sent earlier find none due. */
    boolean takeDuePoll(double nowMs) {
        // A timer may run a little before its time by the clock that it is compared with.
        if (dueAtMs > nowMs + 1) {
            return false;
        }
        dueAtMs = Double.POSITIVE_INFINITY;
        polledAtMs = nowMs;
        hasMoved = false;
        return true;
    }

    private double schedule(double nowMs, double withinMs) {
        dueAtMs = Math.min(dueAtMs, nowMs + random.nextDouble() * withinMs);
        return Math.max(0, dueAtMs - nowMs);
    }

    /** What the failed poll and the next one leave of the budget. */
    private static double maxDelayAfterFailureMs(double failedAfterMs) {
        double leftMs = MAX_LIST_AGE_MS - failedAfterMs - POLL_DURATION_MS;
        if (leftMs < 0) {
            // A watch that was open for long, and those of a whole fleet end together when discovery goes down; or a
            // poll that has failed so late that no delay is short enough.
            return MAX_DELAY_MS;
        }
        return Math.max(MIN_DELAY_MS, Math.min(MAX_DELAY_MS, leftMs));
    }

    /** One balancer alone need not spread its polls. */
    private static double spreadOverFleet(BalancerSettings settings, double delayMs) {
        return delayMs * (1 - 1.0 / settings.balancerCount());
    }
}
