package martenlatch.world;

/**
 * A service that works through calls in turn, each of which takes the same time; one that waits for too long is
 * rejected. A rejection may be free, and is told as soon as the call has waited for too long; or it takes time of the
 * service, and is told when its turn has come, however late. No I/O; times are milliseconds, come with the calls and
 * never run backwards.
 */
public final class CallQueue {

    private static final double MAX_SETTING_MS = 600_000;

    /** What becomes of a call: when, and whether it is rejected then. */
    public record Turn(double atMs, boolean refused) {}

    private final double callMs;
    private final double rejectionMs;
    private final double maxWaitMs;
    private double freeAt = Double.NEGATIVE_INFINITY;

    /**
     * Nobody waits yet.
     *
     * @param callMs how long a call takes; 0 for one that takes no time
     * @param rejectionMs how long a rejection takes; 0 for one that is free
     * @param maxWaitMs how long a call waits for its turn at the most
     */
    public CallQueue(double callMs, double rejectionMs, double maxWaitMs) {
        requireWithin("call-ms", callMs);
        requireWithin("rejection-ms", rejectionMs);
        requireWithin("most-wait-ms", maxWaitMs);
        this.callMs = callMs;
        this.rejectionMs = rejectionMs;
        this.maxWaitMs = maxWaitMs;
    }

    /** A queue in which a rejection is free. */
    public CallQueue(double callMs, double maxWaitMs) {
        this(callMs, 0, maxWaitMs);
    }

    private static void requireWithin(String field, double ms) {
        if (!(ms >= 0 && ms <= MAX_SETTING_MS)) {
            throw new IllegalArgumentException(field + " must be 0 to 600000 but is " + ms);
        }
    }

    /** A call comes. */
    public Turn come(double now) {
        double begins = Math.max(now, freeAt);
        boolean rejected = begins - now > maxWaitMs;
        if (rejected && rejectionMs == 0) {
            return new Turn(now + maxWaitMs, true);
        }
        freeAt = begins + (rejected ? rejectionMs : callMs);
        return new Turn(freeAt, rejected);
    }
}
