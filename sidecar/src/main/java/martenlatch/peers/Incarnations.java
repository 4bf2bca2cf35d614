package martenlatch.peers;

/**
 * Numbers that tell a peer's lives apart, and what it says of itself from what was said before: the second of
 * its start at first, and one more whenever it has to contradict. Within 32 bits until 2156.
 */
final class Incarnations {

    /** The first of January 2020. */
    static final long EPOCH_S = 1_577_836_800L;
    /**
     * Nobody can have contradicted so often that his number runs further ahead of the clock: what does is
     * broken or lies, and would leave its subject no number to contradict with.
     */
    static final long MOST_AHEAD_S = 86_400;

    private static final long MOST = 0xffffffffL;

    private Incarnations() {}

    /** Of a life that begins now, in milliseconds since 1970; a clock before 2020 gives 1. */
    static long at(double nowMs) {
        return Math.max(1, Math.min(MOST, (long) (nowMs / 1000) - EPOCH_S));
    }

    /** Whether a number can be true at this time. */
    static boolean isSane(long incarnation, double nowMs) {
        return incarnation >= 1 && incarnation <= at(nowMs) + MOST_AHEAD_S;
    }
}
