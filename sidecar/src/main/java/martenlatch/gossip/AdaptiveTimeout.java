package martenlatch.gossip;

/**
 * Computes the probe timeouts from the recent response times and from the health of this member (local health
 * multiplier of Lifeguard; Dadgar, Phillips, Currey, 2017).
 */
final class AdaptiveTimeout {

    /** The interval between pings when answers take almost no time. */
    private static final double MIN_PING_GAP_MS = 150;

    /** The longest interval between pings for a healthy member. */
    private static final double MAX_PING_GAP_MS = 1500;
    /** The number of direct pings in a probe, including the first. */
    static final int PINGS_PER_PROBE = 3;
    /** The time allowed for indirect probes after the last direct ping. */
    private static final double INDIRECT_PROBE_MS = 250;

    private static final int MAX_HEALTH_SCORE = 8;
    /** The weight of a response time above the current estimate. */
    private static final double RISE_WEIGHT = 0.5;

    /** The weight of a response time below the current estimate. */
    private static final double FALL_WEIGHT = 0.02;

    /** The interval between pings as a multiple of the tail latency. */
    private static final double TAIL_MULTIPLE = 1.2;

    private double tailLatencyMs;
    /** The health score of this member: 0 if healthy, higher if its own probes or reports about it look wrong. */
    private int healthScore;

    /** Called when a directly probed peer answers. */
    void onAnswer(double tookMs) {
        tailLatencyMs += (tookMs > tailLatencyMs ? RISE_WEIGHT : FALL_WEIGHT) * (tookMs - tailLatencyMs);
    }

    /** Called when a probe is answered in time. */
    void onHealthy() {
        healthScore = Math.max(0, healthScore - 1);
    }

    /** Called when a probe of an alive peer fails or when this member refutes a report about itself. */
    void onUnhealthy() {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
    }

    /** Returns the interval between two pings of a probe, in milliseconds. */
    double pingGapMs() {
        return Math.max(MIN_PING_GAP_MS, Math.min(MAX_PING_GAP_MS, tailLatencyMs * TAIL_MULTIPLE))
                * (1 + healthScore / 4.0);
    }

    /** Returns the time after which a probe has failed, in milliseconds. */
    double probeTimeoutMs() {
        return PINGS_PER_PROBE * pingGapMs() + INDIRECT_PROBE_MS;
    }

    /** Returns the estimated time that slow answers take, in milliseconds. */
    double tailLatencyMs() {
        return tailLatencyMs;
    }
}
