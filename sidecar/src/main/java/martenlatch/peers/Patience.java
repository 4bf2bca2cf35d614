package martenlatch.peers;

/**
 * How long answers are waited for: what they take, of late, and how well we are ourselves (Lifeguard's local
 * health multiplier; Dadgar, Phillips, Currey, 2017).
 */
final class Patience {

    /** Lost pings are sent again so soon, where answers take no time to speak of. */
    private static final double LEAST_GAP_MS = 150;

    private static final double MOST_GAP_MS = 1500;
    /** Straight pings before a probe ends, with the first. */
    static final int PINGS = 3;
    /** What those who help have, beyond the last ping of our own. */
    private static final double HELP_MS = 250;

    private static final int MOST_ILL = 8;
    /** How fast a longer time is learned, and how fast a shorter one. */
    private static final double RISE = 0.5;

    private static final double FALL = 0.02;
    private static final double SLACK = 1.2;

    private double tailMs;
    private int ill;

    void answered(double tookMs) {
        tailMs += (tookMs > tailMs ? RISE : FALL) * (tookMs - tailMs);
    }

    void well() {
        ill = Math.max(0, ill - 1);
    }

    void ill() {
        ill = Math.min(MOST_ILL, ill + 1);
    }

    double gapMs() {
        return Math.max(LEAST_GAP_MS, Math.min(MOST_GAP_MS, tailMs * SLACK)) * (1 + ill / 4.0);
    }

    double endMs() {
        return PINGS * gapMs() + HELP_MS;
    }

    /** What answers take that are slow, in milliseconds. */
    double tailMs() {
        return tailMs;
    }
}
