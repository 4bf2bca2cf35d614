package martenlatch.fleet.link;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides when each message on one direction of a link arrives. Does no I/O and reads no clock: the caller passes
 * the time, which must not decrease. All randomness comes from one seed.
 */
public final class LinkModel {

    /**
     * Initial retransmission timeout of a stream, doubled each time as in TCP (RFC 6298, section 5); this is the
     * minimum on Linux.
     */
    static final double RETRANSMIT_TIMEOUT_MS = 200;
    /** Extra latency of a reordered datagram; it arrives after those that were sent within this time. */
    static final double REORDER_DELAY_MS = 20;

    private static final int MAX_RETRANSMITS = 12;

    private final SplittableRandom random;
    private LinkConditions conditions = LinkConditions.CLEAR;
    /** When the last byte put on the wire has left, in milliseconds on the caller's clock. */
    private double wireFreeAtMs;

    /** When the last data of the stream arrives; later data does not overtake it. */
    private double lastArrivalMs;

    /** Creates a model without impairments. */
    public LinkModel(long seed) {
        random = new SplittableRandom(seed);
    }

    public LinkConditions conditions() {
        return conditions;
    }

    /** Sets the conditions for messages that are sent from now on. */
    public void setConditions(LinkConditions next) {
        conditions = next;
    }

    /**
     * Returns when a message on a stream arrives, in milliseconds on the caller's clock; streams keep their order.
     * Does not account for {@link LinkConditions#silent}: the caller holds messages back while the link is silent.
     */
    public double streamArrivalMs(double now, int bytes) {
        double at = now;
        if (!conditions.isClear()) {
            at = transmissionEndMs(now, bytes) + conditions.delayMs() + drawUpTo(conditions.jitterMs());
            for (int i = 0; i < MAX_RETRANSMITS && happens(conditions.loss()); i++) {
                at += RETRANSMIT_TIMEOUT_MS * (1 << i);
            }
        }
        lastArrivalMs = Math.max(lastArrivalMs, at);
        return lastArrivalMs;
    }

    /** Returns whether a stream's write is duplicated. */
    public boolean duplicatesWrite() {
        return happens(conditions.duplicate());
    }

    /** Returns whether only the first half of a stream's write arrives, followed by a reset. */
    public boolean truncatesWrite() {
        return happens(conditions.half());
    }

    /** Returns when each copy of a datagram arrives; empty if it is lost. */
    public double[] datagramArrivalsMs(double now, int bytes) {
        if (conditions.isClear()) {
            return new double[] {now};
        }
        double sent = transmissionEndMs(now, bytes);
        int copies = happens(conditions.duplicate()) ? 2 : 1;
        double[] at = new double[copies];
        int kept = 0;
        for (int i = 0; i < copies; i++) {
            double late = happens(conditions.reorder()) ? REORDER_DELAY_MS : 0;
            double arrival = sent + conditions.delayMs() + drawUpTo(conditions.jitterMs()) + late;
            if (!conditions.silent() && !happens(conditions.loss())) {
                at[kept++] = arrival;
            }
        }
        return Arrays.copyOf(at, kept);
    }

    private double transmissionEndMs(double now, int bytes) {
        if (Double.isInfinite(conditions.bytesPerSecond())) {
            return now;
        }
        wireFreeAtMs = Math.max(wireFreeAtMs, now) + bytes * 1000.0 / conditions.bytesPerSecond();
        return wireFreeAtMs;
    }

    private boolean happens(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    private double drawUpTo(double mostMs) {
        return mostMs == 0 ? 0 : random.nextDouble() * mostMs;
    }
}
