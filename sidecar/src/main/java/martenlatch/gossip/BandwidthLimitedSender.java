package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;

/**
 * Sends messages within a bandwidth limit. Probes and their answers have the highest priority, then the updates that
 * they carry, then gossip and table comparisons.
 */
final class BandwidthLimitedSender {

    /** Below this share of the allowance only probes and answers without updates are sent. */
    private static final double UPDATE_RESERVE_SHARE = 0.25;
    /** Below this share of the allowance no gossip is sent, and no table comparisons beyond the digests in probes. */
    private static final double GOSSIP_RESERVE_SHARE = 0.5;

    private final double bytesPerSecond;
    private final GossipMembership.Environment environment;
    private final DisseminationQueue disseminationQueue;
    private final GossipMetrics metrics;
    /** The bytes that may be sent now, at most those of one second. */
    private double allowanceBytes;

    private double lastRefillMs = Double.NaN;

    BandwidthLimitedSender(
            double bytesPerSecond,
            GossipMembership.Environment environment,
            DisseminationQueue disseminationQueue,
            GossipMetrics metrics) {
        this.bytesPerSecond = bytesPerSecond;
        this.environment = environment;
        this.disseminationQueue = disseminationQueue;
        this.metrics = metrics;
        allowanceBytes = bytesPerSecond;
    }

    /** Returns whether the allowance suffices for updates. */
    boolean maySendUpdates(double nowMs) {
        return refilledAllowance(nowMs) >= UPDATE_RESERVE_SHARE * bytesPerSecond;
    }

    /** Returns whether the allowance suffices for gossip and table comparisons. */
    boolean mayGossip(double nowMs) {
        return refilledAllowance(nowMs) >= GOSSIP_RESERVE_SHARE * bytesPerSecond;
    }

    private double refilledAllowance(double nowMs) {
        if (!Double.isNaN(lastRefillMs)) {
            allowanceBytes = Math.min(bytesPerSecond, allowanceBytes + bytesPerSecond * (nowMs - lastRefillMs) / 1000);
        }
        lastRefillMs = nowMs;
        return allowanceBytes;
    }

    /**
     * Sends a message if the allowance suffices. If {@code mayPiggyback}, the rest of the datagram is filled with
     * queued updates and accusations.
     */
    boolean send(double nowMs, int to, Message message, boolean mayPiggyback) {
        if (refilledAllowance(nowMs)
                < MessageCodec.size(
                        message.updates().size(),
                        message.accusations().size(),
                        message.digests().size())) {
            metrics.droppedForBandwidth++;
            return false;
        }
        boolean piggyback = mayPiggyback && !disseminationQueue.isEmpty() && maySendUpdates(nowMs);
        byte[] datagram = MessageCodec.encode(piggyback ? withPiggybacked(message) : message);
        allowanceBytes -= datagram.length;
        metrics.sent++;
        metrics.sentBytes += datagram.length;
        environment.send(to, datagram);
        return true;
    }

    private Message withPiggybacked(Message message) {
        List<Update> updates = new ArrayList<>(message.updates());
        List<Accusation> accusations = new ArrayList<>(message.accusations());
        disseminationQueue.fill(
                MessageCodec.MAX_DATAGRAM_BYTES
                        - MessageCodec.size(
                                updates.size(),
                                accusations.size(),
                                message.digests().size()),
                updates,
                accusations);
        return new Message(
                message.kind(),
                message.tier(),
                message.zone(),
                message.from(),
                message.incarnation(),
                message.sequence(),
                message.target(),
                message.flags(),
                updates,
                accusations,
                message.digests());
    }
}
