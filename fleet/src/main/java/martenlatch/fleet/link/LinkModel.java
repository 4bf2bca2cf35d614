package martenlatch.fleet.link;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides when each message on one direction of a link arrives. No I/O, no clock: times come with the calls
 * and never run backwards. Everything random comes from one seed.
 */
public final class LinkModel {

    /**
     * TCP waits so long before it sends again, and twice as long each time (RFC 6298, section 5; Linux'
     * least).
     */
    static final double RESEND_MS = 200;
    /** Comes behind those sent within this time. */
    static final double REORDER_MS = 20;

    private static final int MOST_RESENDS = 12;

    private final SplittableRandom random;
    private LinkConditions conduct = LinkConditions.CLEAR;
    /** When the last byte put on the wire has left, and when the last of the stream arrives. */
    private double freeAt;

    private double lastArrival;

    /** A clear link. */
    public LinkModel(long seed) {
        random = new SplittableRandom(seed);
    }

    public LinkConditions conduct() {
        return conduct;
    }

    /** How it treats what is sent from now on. */
    public void conduct(LinkConditions next) {
        conduct = next;
    }

    /**
     * When a part of a stream arrives, in milliseconds on the caller's clock; streams keep their order.
     * While the link is silent nothing is asked: whoever has it keeps what was sent until {@link
     * LinkConditions#silent} is over.
     */
    public double stream(double now, int bytes) {
        double at = now;
        if (!conduct.isClear()) {
            at = onTheWire(now, bytes) + conduct.delayMs() + drawn(conduct.jitterMs());
            for (int i = 0; i < MOST_RESENDS && happens(conduct.loss()); i++) {
                at += RESEND_MS * (1 << i);
            }
        }
        lastArrival = Math.max(lastArrival, at);
        return lastArrival;
    }

    /** Whether a stream's write comes twice. */
    public boolean streamTwice() {
        return happens(conduct.duplicate());
    }

    /** Whether half of a stream's write comes, and then a reset. */
    public boolean streamHalf() {
        return happens(conduct.half());
    }

    /** When a datagram arrives, each copy of it; none where it is lost. */
    public double[] datagram(double now, int bytes) {
        if (conduct.isClear()) {
            return new double[] {now};
        }
        double sent = onTheWire(now, bytes);
        int copies = happens(conduct.duplicate()) ? 2 : 1;
        double[] at = new double[copies];
        int kept = 0;
        for (int i = 0; i < copies; i++) {
            double late = happens(conduct.reorder()) ? REORDER_MS : 0;
            double arrival = sent + conduct.delayMs() + drawn(conduct.jitterMs()) + late;
            if (!conduct.silent() && !happens(conduct.loss())) {
                at[kept++] = arrival;
            }
        }
        return Arrays.copyOf(at, kept);
    }

    private double onTheWire(double now, int bytes) {
        if (Double.isInfinite(conduct.bytesPerSecond())) {
            return now;
        }
        freeAt = Math.max(freeAt, now) + bytes * 1000.0 / conduct.bytesPerSecond();
        return freeAt;
    }

    private boolean happens(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    private double drawn(double mostMs) {
        return mostMs == 0 ? 0 : random.nextDouble() * mostMs;
    }
}
