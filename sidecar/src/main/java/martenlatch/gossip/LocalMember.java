package martenlatch.gossip;

import martenlatch.gossip.Message.Update;
import martenlatch.gossip.Message.Word;

/** What a member knows of itself: its incarnation, whether it is leaving, and whether it is well connected. */
final class LocalMember {

    /** After so many periods without any message a member takes itself to be cut off. */
    private static final double CUT_OFF_PERIODS = 1.5;
    /** The shortest time between two refutations, in milliseconds. */
    private static final double REFUTE_INTERVAL_MS = 200;

    private final GossipSettings settings;
    private final DisseminationQueue disseminationQueue;
    private final AdaptiveTimeout timeout;
    private final GossipMetrics metrics;
    private long incarnation;
    private boolean leaving;
    /** Until this time the member was paused lately, and accuses nobody. */
    private double pausedUntilMs = Double.NEGATIVE_INFINITY;
    /** When a message of any peer was last received. */
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

    /** The process was paused: what was missed speaks against nobody, for a period. */
    void onPaused(double nowMs) {
        pausedUntilMs = nowMs + settings.periodMs();
        lastHeardMs = nowMs;
    }

    /** Whether silence of others may be the fault of this member. */
    boolean isUnreliable(double nowMs) {
        return wasPaused(nowMs) || isCutOff(nowMs);
    }

    private boolean wasPaused(double nowMs) {
        return nowMs < pausedUntilMs;
    }

    boolean isCutOff(double nowMs) {
        return settings.told() > 1 && nowMs - lastHeardMs > CUT_OFF_PERIODS * settings.periodMs();
    }

    /** Announces this member with a higher incarnation than anybody has heard of, and than {@code above}. */
    void announceAnew(long above) {
        incarnation = Math.max(incarnation, above) + 1;
        disseminationQueue.put(asUpdate());
    }

    /** Contradicts what was said of this member, under this incarnation or a later one. */
    void refute(double nowMs, long saidIncarnation) {
        if (saidIncarnation < incarnation || nowMs - lastRefutedMs < REFUTE_INTERVAL_MS) {
            return;
        }
        lastRefutedMs = nowMs;
        metrics.refuted++;
        timeout.onUnhealthy();
        announceAnew(saidIncarnation);
    }

    Update asUpdate() {
        return new Update(settings.self(), leaving ? Word.LEFT : Word.ALIVE, settings.zone(), incarnation);
    }

    /** What the member tells of itself in every message. */
    int flags(double nowMs) {
        return (leaving ? Message.LEAVING : 0)
                | (wasPaused(nowMs) ? Message.WAS_AWAY : 0)
                | (isCutOff(nowMs) ? Message.DEAF : 0);
    }
}
