package martenlatch.world;

/**
 * A service that works through calls in turn, each of which takes the same time; one that would wait for too
 * long is turned away when it has waited so long. No I/O; times are milliseconds, come with the calls and
 * never run backwards.
 */
public final class CallQueue {

    /** What becomes of a call: when, and whether it is turned away then. */
    public record Turn(double atMs, boolean refused) {}

    private final double callMs;
    private final double mostWaitMs;
    private double freeAt = Double.NEGATIVE_INFINITY;

    /**
     * Nobody waits yet.
     *
     * @param callMs how long a call takes; 0 for one that takes no time
     * @param mostWaitMs how long a call waits for its turn at the most
     */
    public CallQueue(double callMs, double mostWaitMs) {
        within("call-ms", callMs);
        within("most-wait-ms", mostWaitMs);
        this.callMs = callMs;
        this.mostWaitMs = mostWaitMs;
    }

    private static void within(String field, double ms) {
        if (!(ms >= 0 && ms <= 600_000)) {
            throw new IllegalArgumentException(field + " must be 0 to 600000 but is " + ms);
        }
    }

    /** A call comes. */
    public Turn come(double now) {
        double begins = Math.max(now, freeAt);
        if (begins - now > mostWaitMs) {
            return new Turn(now + mostWaitMs, true);
        }
        freeAt = begins + callMs;
        return new Turn(freeAt, false);
    }
}
