package martenlatch.world;

/**
 * Models a first-in, first-out server that takes the same time for every call and rejects calls that would wait for
 * longer than a limit. If a rejection takes no server time, it is sent as soon as the call has waited for the limit;
 * otherwise it occupies the server like a call and is sent in its turn, however late. Performs no I/O; the caller
 * passes the current time in milliseconds, which must never decrease.
 */
public final class CallQueue {

    private static final double MAX_SETTING_MS = 600_000;

    /** The result of a call: when it completes, and whether it is rejected. */
    public record Turn(double atMs, boolean refused) {}

    private final double callMs;
    private final double rejectionMs;
    private final double maxWaitMs;
    private double freeAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates an empty queue.
     *
     * @param callMs server time of a call; may be 0
     * @param rejectionMs server time of a rejection; 0 if rejections take no server time
     * @param maxWaitMs longest time that a call waits for its turn
     */
    public CallQueue(double callMs, double rejectionMs, double maxWaitMs) {
        requireWithin("call-ms", callMs);
        requireWithin("rejection-ms", rejectionMs);
        requireWithin("most-wait-ms", maxWaitMs);
        this.callMs = callMs;
        this.rejectionMs = rejectionMs;
        this.maxWaitMs = maxWaitMs;
    }

    /** Creates an empty queue in which rejections take no server time. */
    public CallQueue(double callMs, double maxWaitMs) {
        this(callMs, 0, maxWaitMs);
    }

    private static void requireWithin(String field, double ms) {
        if (!(ms >= 0 && ms <= MAX_SETTING_MS)) {
            throw new IllegalArgumentException(field + " must be 0 to 600000 but is " + ms);
        }
    }

    /** Adds a call that arrives at {@code nowMs} and returns its result. */
    public Turn come(double nowMs) {
        double beginsMs = Math.max(nowMs, freeAtMs);
        boolean rejected = beginsMs - nowMs > maxWaitMs;
        if (rejected && rejectionMs == 0) {
            return new Turn(nowMs + maxWaitMs, true);
        }
        freeAtMs = beginsMs + (rejected ? rejectionMs : callMs);
        return new Turn(freeAtMs, rejected);
    }
}
