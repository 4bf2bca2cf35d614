package martenlatch.fleet.link;

/**
 * The network conditions of one direction of a link. On a stream, lost data is retransmitted as in TCP: it arrives
 * late and delays everything behind it. A lost datagram never arrives.
 *
 * @param delayMs latency of each message
 * @param jitterMs maximum additional latency, drawn uniformly for each message
 * @param loss fraction of messages that are lost, 0 to 0.95
 * @param duplicate fraction of datagrams, or of a stream's writes, that are duplicated
 * @param reorder fraction of datagrams that arrive after later ones
 * @param bytesPerSecond bandwidth; infinite means unlimited
 * @param half fraction of a stream's writes of which only the first half arrives, followed by a reset
 * @param silent whether nothing passes, without an error at either end; stream data sent meanwhile arrives afterwards
 */
public record LinkConditions(
        double delayMs,
        double jitterMs,
        double loss,
        double duplicate,
        double reorder,
        double bytesPerSecond,
        double half,
        boolean silent) {

    /** No impairment. */
    public static final LinkConditions CLEAR = new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false);
    /** Nothing passes in this direction. */
    public static final LinkConditions SILENT = new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, true);

    private static final double MAX_DELAY_MS = 600_000;
    /** Above this, a stream's retransmissions would not finish within a run. */
    private static final double MAX_LOSS = 0.95;

    public LinkConditions {
        requireInRange("delay-ms", delayMs, 0, MAX_DELAY_MS);
        requireInRange("jitter-ms", jitterMs, 0, MAX_DELAY_MS);
        requireInRange("loss", loss, 0, MAX_LOSS);
        requireInRange("duplicate", duplicate, 0, 1);
        requireInRange("reorder", reorder, 0, 1);
        requireInRange("half", half, 0, 1);
        if (!(bytesPerSecond >= 1)) {
            throw new IllegalArgumentException("rate must be 1 byte a second or more but is " + bytesPerSecond);
        }
    }

    private static void requireInRange(String field, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(field + " must be " + min + " to " + max + " but is " + value);
        }
    }

    /** Returns whether messages arrive at once and unimpaired. */
    public boolean isClear() {
        return equals(CLEAR);
    }

    /** Returns the combination of both: delays add up, and the worse value of everything else applies. */
    public LinkConditions combinedWith(LinkConditions other) {
        return new LinkConditions(
                Math.min(MAX_DELAY_MS, delayMs + other.delayMs),
                Math.min(MAX_DELAY_MS, jitterMs + other.jitterMs),
                Math.max(loss, other.loss),
                Math.max(duplicate, other.duplicate),
                Math.max(reorder, other.reorder),
                Math.min(bytesPerSecond, other.bytesPerSecond),
                Math.max(half, other.half),
                silent || other.silent);
    }
}
