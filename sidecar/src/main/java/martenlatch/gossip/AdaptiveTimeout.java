package martenlatch.gossip;

/**
 * How long answers are waited for: by what they took lately, and by this member's own health (Lifeguard's local health
 * multiplier; Dadgar, Phillips, Currey, 2017).
 */
final class AdaptiveTimeout {

    /** Lost pings are repeated so soon, where answers hardly take any time. */
    private static final double MIN_GAP_MS = 150;

    private static final double MAX_GAP_MS = 1500;
    /** Direct pings in a probe, the first among them. */
    static final int PINGS = 3;
    /** The time for probes by others, beyond the last own ping. */
    private static final double HELP_MS = 250;

    private static final int MAX_HEALTH_SCORE = 8;
    /** How fast a longer time is learned. */
    private static final double RISE = 0.5;

    /** How fast a shorter time is learned. */
    private static final double FALL = 0.02;

    private static final double SLACK = 1.2;

    private double tailMs;
    /** 0 for a healthy member. */
    private int healthScore;

    void onAnswer(double tookMs) {
        tailMs += (tookMs > tailMs ? RISE : FALL) * (tookMs - tailMs);
    }

    void onHealthy() {
        healthScore = Math.max(0, healthScore - 1);
    }

    void onUnhealthy() {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
    }

    /** The time between two pings of a probe, in milliseconds. */
    double pingGapMs() {
        return Math.max(MIN_GAP_MS, Math.min(MAX_GAP_MS, tailMs * SLACK)) * (1 + healthScore / 4.0);
    }

    /** The time after which a probe has failed, in milliseconds. */
    double probeMs() {
        return PINGS * pingGapMs() + HELP_MS;
    }

    /** The time that slow answers take, in milliseconds. */
    double tailMs() {
        return tailMs;
    }
}
