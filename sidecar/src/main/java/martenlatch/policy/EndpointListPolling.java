package martenlatch.policy;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.PollFailure;

/**
 * Decides when discovery is polled while no watch is open. Balancers must know a change within
 * {@link EndpointListAge#MAX_LIST_AGE_MS} after discovery has it and is reachable. The age of the list at the end of a
 * watch, the delay after it and the duration of the next poll share this budget. If a poll fails, discovery may have
 * become reachable just after the poll was sent, so the budget counts from then on. Delays are random so that balancers
 * that start, fail or move together do not poll together; what is left of the budget bounds them.
 */
final class EndpointListPolling {

    private static final double MAX_DELAY_MS = 3000;
    /** Shorter, because a new process serves no request until its list is current. */
    private static final double MAX_START_DELAY_MS = 2000;
    /** Longest delay after the first failure, in poll intervals. */
    private static final double FIRST_FAILURE_INTERVALS = 0.5;

    private static final int MAX_FAILURE_INTERVALS = 3; // longest delay after many failures, in poll intervals

    /** A poll that fails later than this was an open watch, as discovery answers or rejects all others before. */
    private static final double MAX_POLL_DURATION_MS =
            EndpointListAge.MAX_LIST_AGE_MS - EndpointListAge.POLL_DURATION_MS;

    /** The time over which balancers spread their polls if their connections have ended together, for each balancer. */
    private static final double RECONNECT_SPREAD_PER_BALANCER_MS = 25;

    private static final double MIN_RECONNECT_SPREAD_MS = 100;
    private static final int MAX_RECONNECT_DOUBLINGS = 5;
    /** The same if their lists are overdue, so that it has to fit into the grace of a drain. */
    private static final double OVERDUE_SPREAD_PER_BALANCER_MS = 10;

    private static final double MAX_OVERDUE_SPREAD_MS = 250;

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
        double nextResponseMs = Math.max(EndpointListAge.POLL_DURATION_MS, listAgeMs);
        double remainingMs = Math.max(0, EndpointListAge.MAX_LIST_AGE_MS - listAgeMs - nextResponseMs);
        double withinMs =
                Math.min(remainingMs, Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2));
        double delayMs = withinMs * (1 + random.nextDouble()) / 2;
        dueAtMs = Math.min(dueAtMs, nowMs + spreadOverFleet(settings, delayMs));
        return Math.max(0, dueAtMs - nowMs);
    }

    /**
     * Called when a poll has failed or a watch has ended; returns the delay of the next poll.
     *
     * @param listAgeMs the time since discovery last confirmed the list, in milliseconds; infinite if it never did
     */
    double delayAfterFailure(double nowMs, PollFailure failure, double listAgeMs, BalancerSettings settings) {
        boolean isFirst = failures == 0;
        double intervals = Math.min(Math.max(FIRST_FAILURE_INTERVALS, failures), MAX_FAILURE_INTERVALS);
        double allowedMs = intervals * settings.rules().pollIntervalMs();
        double withinMs = Math.min(allowedMs, maxDelayAfterFailureMs(nowMs - polledAtMs, isFirst, listAgeMs, settings));
        if (failure == PollFailure.CONNECTION_LOST) {
            withinMs = Math.min(withinMs, reconnectSpreadMs(settings));
        }
        failures++;
        return schedule(nowMs, withinMs);
    }

    /**
     * Called when the address of discovery changes. Returns the delay of the first poll there; a poll that is already
     * due earlier is not postponed.
     *
     * @param listAgeMs as in {@link #delayAfterFailure}
     */
    double delayAfterMove(double nowMs, double listAgeMs, BalancerSettings settings) {
        hasMoved = true;
        double allowedMs = Math.min(MAX_DELAY_MS, settings.rules().pollIntervalMs() / 2);
        return schedule(
                nowMs,
                spreadOverFleet(settings, Math.min(allowedMs, maxDelayAtAgeMs(knownAgeMs(listAgeMs), settings))));
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

    /**
     * Returns the part of the budget that the next poll leaves for the delay before it. After the first failure since
     * the last list, the budget counts from that list on; after further ones from the failed poll on, because
     * discovery may have been unreachable until then. The failure of an open watch does not show that it was.
     */
    private static double maxDelayAfterFailureMs(
            double failedAfterMs, boolean isFirst, double listAgeMs, BalancerSettings settings) {
        boolean wasOpenWatch = failedAfterMs > MAX_POLL_DURATION_MS;
        double confirmedMs = knownAgeMs(listAgeMs);
        double unconfirmedMs =
                wasOpenWatch ? confirmedMs : isFirst ? Math.max(failedAfterMs, confirmedMs) : failedAfterMs;
        return Math.min(MAX_DELAY_MS, maxDelayAtAgeMs(unconfirmedMs, settings));
    }

    /** Returns the age of the list; 0 if discovery never sent one, as the budget then counts from the polls alone. */
    private static double knownAgeMs(double listAgeMs) {
        return listAgeMs < Double.POSITIVE_INFINITY ? listAgeMs : 0;
    }

    /** Returns what is left of the budget, or a short time in which a fleet with overdue lists spreads its polls. */
    private static double maxDelayAtAgeMs(double unconfirmedMs, BalancerSettings settings) {
        double overdueSpreadMs =
                Math.min(MAX_OVERDUE_SPREAD_MS, OVERDUE_SPREAD_PER_BALANCER_MS * (settings.balancerCount() - 1));
        return Math.max(overdueSpreadMs, EndpointListAge.remainingDelayMs(unconfirmedMs));
    }

    /** Returns the longest delay after the loss of a connection, which doubles with each failure. */
    private double reconnectSpreadMs(BalancerSettings settings) {
        double spreadMs =
                Math.max(MIN_RECONNECT_SPREAD_MS, RECONNECT_SPREAD_PER_BALANCER_MS * settings.balancerCount());
        return Math.min(MAX_DELAY_MS, Math.scalb(spreadMs, Math.min(failures, MAX_RECONNECT_DOUBLINGS)));
    }

    /** Scales a delay by the number of balancers; a single balancer need not spread its polls. */
    private static double spreadOverFleet(BalancerSettings settings, double delayMs) {
        return delayMs * (1 - 1.0 / settings.balancerCount());
    }
}
