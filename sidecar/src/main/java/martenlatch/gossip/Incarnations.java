package martenlatch.gossip;

/**
 * Computes incarnations: numbers that order the runs of a member, and its reports about itself relative to reports by
 * others. An incarnation starts as the second of the start and increases by one with each refutation. It fits into 32
 * bits until 2156.
 */
final class Incarnations {

    /** 2020-01-01T00:00:00Z. */
    static final long EPOCH_S = 1_577_836_800L;
    /**
     * The maximum by which an incarnation may exceed the clock. No member can have refuted more often, so a higher
     * number is corrupt or false, and would leave its subject no number to refute it with.
     */
    static final long MAX_AHEAD_S = 86_400;

    private static final long MAX_INCARNATION = 0xffffffffL;

    private Incarnations() {}

    /**
     * Returns the incarnation of a member that starts at {@code nowMs}, in milliseconds since 1970, or 1 if that is
     * before 2020.
     */
    static long at(double nowMs) {
        return Math.max(1, Math.min(MAX_INCARNATION, (long) (nowMs / 1000) - EPOCH_S));
    }

    /** Returns whether an incarnation is possible at this time. */
    static boolean isPlausible(long incarnation, double nowMs) {
        return incarnation >= 1 && incarnation <= at(nowMs) + MAX_AHEAD_S;
    }
}
