package martenlatch.gossip;

/**
 * Numbers that order a member's lives, and what it says of itself after what was said of it before: the second of its
 * start at first, and one more with each refutation. Within 32 bits until 2156.
 */
final class Incarnations {

    /** The first of January 2020. */
    static final long EPOCH_S = 1_577_836_800L;
    /**
     * No member can have refuted so often that its number is further ahead of the clock: such a number is broken or a
     * lie, and would leave its subject none to refute it with.
     */
    static final long MAX_AHEAD_S = 86_400;

    private static final long MAX = 0xffffffffL;

    private Incarnations() {}

    /** The incarnation of a life that begins now, in milliseconds since 1970; a clock before 2020 gives 1. */
    static long at(double nowMs) {
        return Math.max(1, Math.min(MAX, (long) (nowMs / 1000) - EPOCH_S));
    }

    /** Whether a number can be true at this time. */
    static boolean isSane(long incarnation, double nowMs) {
        return incarnation >= 1 && incarnation <= at(nowMs) + MAX_AHEAD_S;
    }
}
