package martenlatch.policy;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * Decides when discovery is polled. Balancers must know a change within {@link #MAX_LIST_AGE_MS} after discovery has it
 * and is reachable. If a poll fails, discovery may have become reachable just after the poll was sent. Therefore the
 * duration of the failed poll, the delay after it and the duration of the next poll share this budget. Delays are
 * random so that balancers that start, fail or move together do not poll together; a poll that fails early leaves more
 * time to spread the next ones.
 */
final class EndpointListPolling {

    /** The longest time until a change is known, once discovery has it and is reachable. */
    private static final double MAX_LIST_AGE_MS = 6000;

    private static final double POLL_DURATION_MS = 2000; // the time within which discovery answers or rejects a poll
    private static final double MIN_DELAY_MS = 1000; // lower bound on the longest delay after a failure
    private static final double MAX_DELAY_MS = 3000; // upper bound on the longest delay
    /** Shorter, because a new process serves no request until its list is current. */
    private static final double MAX_START_DELAY_MS = 2000;
    /** Longest delay after the first failure, in poll intervals. */
    private static final double FIRST_FAILURE_INTERVALS = 0.5;

    private static final int MAX_FAILURE_INTERVALS = 3; // longest delay after many failures, in poll intervals

    private final SplittableRandom random;
    /** The time when the last poll was sent. */
    private double polledAtMs = Double.NEGATIVE_INFINITY;
    /** The time when the next poll is due; infinite while none is scheduled. */
    private double dueAtMs = Double.POSITIVE_INFINITY;

    /** True if the address of discovery has changed since the last poll was sent. */
    private boolean hasMoved;

    private int failures; // polls that failed since the last list

    EndpointListPolling(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the delay of the first poll, which counts as due at any time because the start time is not known yet. */
    double delayAtStart(BalancerSettings settings) {
        dueAtMs = Double.NEGATIVE_INFINITY;
        return random.nextDouble() * spreadOverFleet(settings, MAX_START_DELAY_MS);
    }

    /**
     * Called when a list arrives and the watch stays open; a list from before a move leaves the next poll scheduled.
     */
    void onList() {
        failures = 0;
        if (!hasMoved) {
            dueAtMs = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Called when a list arrives and no watch is open, as after the first poll of a process. Returns the delay of the
     * poll that opens a watch. It is long enough for a fleet that starts together to complete its first polls, which
     * would otherwise queue behind watches that are not urgent while the list is recent. If discovery writes slowly,
     * the list is as old as its response took, and the next response may take as long.
     */
    double delayAfterFirstList(double nowMs, double listAgeMs, BalancerSettings settings) {
        double remainingMs = Math.max(0, MAX_LIST_AGE_MS - listAgeMs - Math.max(POLL_DURATION_MS, listAgeMs));
        double withinMs =
                Math.min(remainingMs, Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2));
        double delayMs = withinMs * (1 + random.nextDouble()) / 2;
        dueAtMs = Math.min(dueAtMs, nowMs + spreadOverFleet(settings, delayMs));
        return Math.max(0, dueAtMs - nowMs);
    }

    /** Called when a poll has failed or a watch has ended; returns the delay of the next poll. */
    double delayAfterFailure(double nowMs, BalancerSettings settings) {
        double intervals = Math.min(Math.max(FIRST_FAILURE_INTERVALS, failures++), MAX_FAILURE_INTERVALS);
        double allowedMs = intervals * settings.rules().pollIntervalMs();
        return schedule(nowMs, Math.min(allowedMs, maxDelayAfterFailureMs(nowMs - polledAtMs)));
    }

    /**
     * Called when the address of discovery changes. Returns the delay of the first poll there; a poll that is already
     * due earlier is not postponed.
     */
    double delayAfterMove(double nowMs, BalancerSettings settings) {
        hasMoved = true;
        double allowedMs = Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2);
        return schedule(nowMs, spreadOverFleet(settings, allowedMs));
    }

    /** Returns whether a poll is due, and marks it as sent; a leftover timer of an earlier poll finds none due. */
    boolean takeDuePoll(double nowMs) {
        // A timer may fire slightly early by this clock.
        if (dueAtMs > nowMs + 1) {
            return false;
        }
        dueAtMs = Double.POSITIVE_INFINITY;
        polledAtMs = nowMs;
        hasMoved = false;
        return true;
    }

    /** Schedules the next poll at a random time within this period, unless it is due earlier; returns its delay. */
    private double schedule(double nowMs, double withinMs) {
        dueAtMs = Math.min(dueAtMs, nowMs + random.nextDouble() * withinMs);
        return Math.max(0, dueAtMs - nowMs);
    }

    /** Returns the part of the budget that the failed poll and the next poll leave for the delay between them. */
    private static double maxDelayAfterFailureMs(double failedAfterMs) {
        double remainingMs = MAX_LIST_AGE_MS - failedAfterMs - POLL_DURATION_MS;
        if (remainingMs < 0) {
            // Either a long-open watch ended, as those of a whole fleet do together when discovery goes down, or the
            // poll failed so late that no delay is short enough.
            return MAX_DELAY_MS;
        }
        return Math.max(MIN_DELAY_MS, Math.min(MAX_DELAY_MS, remainingMs));
    }

    /** Scales a delay by the number of balancers; a single balancer need not spread its polls. */
    private static double spreadOverFleet(BalancerSettings settings, double delayMs) {
        return delayMs * (1 - 1.0 / settings.balancerCount());
    }
}
