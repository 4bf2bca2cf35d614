package martenlatch.fleet.link;

/**
 * How one direction of a link treats what is sent over it. On a stream what is lost is sent again, as TCP
 * does: it comes late, and so does all behind it. A datagram that is lost is gone.
 *
 * @param delayMs how long each message takes
 * @param jitterMs up to so much longer, evenly drawn for each
 * @param loss the share of messages that are lost, 0 to below 1
 * @param duplicate the share of datagrams that come twice, or of a stream's writes that are written twice
 * @param reorder the share of datagrams that come after later ones
 * @param bytesPerSecond its rate; infinite where there is no bound
 * @param half the share of a stream's writes of which half comes, and then a reset
 * @param silent nothing comes through, and nobody is told; what was sent on a stream comes when this is over
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

    /** As good as loopback is. */
    public static final LinkConditions CLEAR = new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false);
    /** Cut in this direction. */
    public static final LinkConditions SILENT = new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, true);

    private static final double MOST_MS = 600_000;
    /** At more than this a stream's repeats would not come to an end within any run. */
    private static final double MOST_LOSS = 0.95;

    public LinkConditions {
        within("delay-ms", delayMs, 0, MOST_MS);
        within("jitter-ms", jitterMs, 0, MOST_MS);
        within("loss", loss, 0, MOST_LOSS);
        within("duplicate", duplicate, 0, 1);
        within("reorder", reorder, 0, 1);
        within("half", half, 0, 1);
        if (!(bytesPerSecond >= 1)) {
            throw new IllegalArgumentException("rate must be 1 byte a second or more but is " + bytesPerSecond);
        }
    }

    private static void within(String field, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(field + " must be " + least + " to " + most + " but is " + value);
        }
    }

    /** Whether messages come at once and unharmed. */
    public boolean isClear() {
        return equals(CLEAR);
    }

    /** Both at once: the delays add up, of the rest the worse holds. */
    public LinkConditions combinedWith(LinkConditions other) {
        return new LinkConditions(
                Math.min(MOST_MS, delayMs + other.delayMs),
                Math.min(MOST_MS, jitterMs + other.jitterMs),
                Math.max(loss, other.loss),
                Math.max(duplicate, other.duplicate),
                Math.max(reorder, other.reorder),
                Math.min(bytesPerSecond, other.bytesPerSecond),
                Math.max(half, other.half),
                silent || other.silent);
    }
}
