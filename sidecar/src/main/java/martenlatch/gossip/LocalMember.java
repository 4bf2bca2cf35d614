package martenlatch.gossip;

import martenlatch.gossip.Message.Status;
import martenlatch.gossip.Message.Update;

/** Holds the state of this member: its incarnation, whether it is leaving, and whether it is well connected. */
final class LocalMember {

    /** The number of periods without any message after which a member considers itself cut off. */
    private static final double CUT_OFF_PERIODS = 1.5;
    /** The minimum interval between two refutations. */
    private static final double REFUTE_INTERVAL_MS = 200;

    private final GossipSettings settings;
    private final DisseminationQueue disseminationQueue;
    private final AdaptiveTimeout timeout;
    private final GossipMetrics metrics;
    private long incarnation;
    private boolean leaving;
    /** Until this time the member counts as recently paused and accuses nobody. */
    private double pausedUntilMs = Double.NEGATIVE_INFINITY;
    /** The time at which a message of any peer was last received. */
    private double lastHeardMs;

    private double lastRefutedMs = Double.NEGATIVE_INFINITY;

    LocalMember(
            GossipSettings settings,
            DisseminationQueue disseminationQueue,
            AdaptiveTimeout timeout,
            GossipMetrics metrics) {
        this.settings = settings;
        this.disseminationQueue = disseminationQueue;
        this.timeout = timeout;
        this.metrics = metrics;
    }

    void start(double nowMs) {
        incarnation = Incarnations.at(nowMs);
        lastHeardMs = nowMs;
    }

    int number() {
        return settings.self();
    }

    long incarnation() {
        return incarnation;
    }

    boolean isLeaving() {
        return leaving;
    }

    void startLeaving() {
        leaving = true;
    }

    void onHeard(double nowMs) {
        lastHeardMs = nowMs;
    }

    /** Called when the process was paused: messages missed are no evidence against peers for one period. */
    void onPaused(double nowMs) {
        pausedUntilMs = nowMs + settings.periodMs();
        lastHeardMs = nowMs;
    }

    /** Returns whether missing answers may be the fault of this member. */
    boolean isUnreliable(double nowMs) {
        return wasPaused(nowMs) || isCutOff(nowMs);
    }

    private boolean wasPaused(double nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** Returns whether no message of any peer was received lately. */
    boolean isCutOff(double nowMs) {
        return settings.memberCount() > 1 && nowMs - lastHeardMs > CUT_OFF_PERIODS * settings.periodMs();
    }

    /** Raises the incarnation above the current one and {@code above}, and disseminates it. */
    void raiseIncarnation(long above) {
        incarnation = Math.max(incarnation, above) + 1;
        disseminationQueue.enqueue(asUpdate());
    }

    /**
     * Refutes a report about this member with the given incarnation, unless the current incarnation is higher or the
     * last refutation was too recent.
     */
    void refute(double nowMs, long reportedIncarnation) {
        if (reportedIncarnation < incarnation || nowMs - lastRefutedMs < REFUTE_INTERVAL_MS) {
            return;
        }
        lastRefutedMs = nowMs;
        metrics.refutations++;
        timeout.onUnhealthy();
        raiseIncarnation(reportedIncarnation);
    }

    /** Returns the update that this member sends about itself. */
    Update asUpdate() {
        return new Update(settings.self(), leaving ? Status.LEFT : Status.ALIVE, settings.zone(), incarnation);
    }

    /** Returns the flags that the member sends in every message. */
    int flags(double nowMs) {
        return (leaving ? Message.LEAVING : 0)
                | (wasPaused(nowMs) ? Message.WAS_PAUSED : 0)
                | (isCutOff(nowMs) ? Message.CUT_OFF : 0);
    }
}
