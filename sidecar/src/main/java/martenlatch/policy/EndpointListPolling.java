package martenlatch.policy;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * Decides when discovery is polled. A change counts as notified {@link #MAX_LIST_AGE_MS} after discovery had it,
 * however often a poll was put off meanwhile. So there is one budget, which begins when the list was last known to be
 * current, and every delay is drawn from what is left of it: at the start, after a failed poll, when discovery moves.
 * Delays are random because balancers that start, fail or move together must not poll together.
 */
final class EndpointListPolling {

    private static final double MAX_LIST_AGE_MS = 6000; // a change counts as notified so long after discovery had it
    private static final double POLL_DURATION_MS = 2000; // in which discovery answers a poll or rejects it
    private static final double MAX_DELAY_MS = 3000; // keeps the polls after an outage of discovery in time
    private static final double OVERDUE_DELAY_MS = 3000; // more polls than these keep a crowded discovery crowded
    private static final double START_DELAY_MS = 2000; // for a process that serves nobody until its list is current
    private static final double FIRST_FAILURE_INTERVALS = 0.5; // the longest delay in poll intervals, by failures
    private static final int MAX_FAILURE_INTERVALS = 3;

    private final SplittableRandom random;
    /** When the list was last known to be current; that of a new process may be of any age. */
    private double currentAtMs = Double.NEGATIVE_INFINITY;
    /** From then on a watch keeps the list current; infinite without one. */
    private double watchedFromMs = Double.POSITIVE_INFINITY;
    /** When the next poll is due; infinite while none is scheduled. */
    private double dueAtMs = Double.POSITIVE_INFINITY;

    private int failures;

    EndpointListPolling(SplittableRandom random) {
        this.random = random;
    }

    /** The delay of the first poll; the time of the start is not known yet. */
    double delayAtStart(BalancerSettings settings) {
        dueAtMs = Double.NEGATIVE_INFINITY;
        return random.nextDouble() * spreadOverFleet(settings, START_DELAY_MS);
    }

    /** A list has come, and the watch goes on. */
    void onList(double nowMs) {
        currentAtMs = nowMs;
        watchedFromMs = nowMs;
        dueAtMs = Double.POSITIVE_INFINITY;
        failures = 0;
    }

    /**
     * The first poll of a process is answered, and the next one starts its watch; returns the delay of that. It comes
     * after the first polls of a fleet that starts together: otherwise those would wait behind watches, which are not
     * urgent while the list is as young.
     */
    double delayAfterFirstList(double nowMs, BalancerSettings settings) {
        double withinMs = Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2);
        double delayMs = withinMs * (1 + random.nextDouble()) / 2;
        dueAtMs = nowMs + spreadOverFleet(settings, delayMs);
        return dueAtMs - nowMs;
    }

    /**
     * The poll has failed, or the watch has ended; returns the delay of the next poll. How long the watch had been
     * silent before its end is not known, so it does not prove the list to have been current.
     */
    double delayAfterFailure(double nowMs, BalancerSettings settings) {
        watchedFromMs = Double.POSITIVE_INFINITY;
        double intervals = Math.min(Math.max(FIRST_FAILURE_INTERVALS, failures++), MAX_FAILURE_INTERVALS);
        double allowedMs = intervals * settings.rules().pollIntervalMs();
        return schedule(nowMs, Math.min(allowedMs, maxDelayMs(nowMs)));
    }

    /**
     * Discovery is at another address from now on, and the watch is over; returns the delay of the first poll there. A
     * poll that is due earlier is not put off.
     */
    double delayAfterMove(double nowMs, BalancerSettings settings) {
        if (watchedFromMs <= nowMs) {
            currentAtMs = nowMs;
        }
        watchedFromMs = Double.POSITIVE_INFINITY;
        double allowedMs = settings.rules().pollIntervalMs() / 2;
        return schedule(nowMs, spreadOverFleet(settings, Math.min(allowedMs, maxDelayMs(nowMs))));
    }

    /** Whether a poll is due now; it counts as sent then. Timers of polls that were sent earlier find none due. */
    boolean takeDuePoll(double nowMs) {
        // A timer may run a little before its time by the clock that it is compared with.
        if (dueAtMs > nowMs + 1) {
            return false;
        }
        dueAtMs = Double.POSITIVE_INFINITY;
        watchedFromMs = Double.POSITIVE_INFINITY;
        return true;
    }

    private double schedule(double nowMs, double withinMs) {
        dueAtMs = Math.min(dueAtMs, nowMs + random.nextDouble() * withinMs);
        return Math.max(0, dueAtMs - nowMs);
    }

    /** What is left of the budget when the poll itself may still take its time. */
    private double maxDelayMs(double nowMs) {
        double leftMs = currentAtMs + MAX_LIST_AGE_MS - POLL_DURATION_MS - nowMs;
        return Math.max(OVERDUE_DELAY_MS, Math.min(MAX_DELAY_MS, leftMs));
    }

    /** One balancer alone need not spread its polls. */
    private static double spreadOverFleet(BalancerSettings settings, double delayMs) {
        return delayMs * (1 - 1.0 / settings.balancerCount());
    }
}
