package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;

/** Sends messages within a limit on bandwidth: probes and their answers first, then what they carry, then the rest. */
final class BandwidthLimitedSender {

    /** Below this share of the allowance only bare probes and their answers are sent. */
    private static final double NEWS_RESERVE = 0.25;
    /** Below this share of the allowance there is no gossip, and no comparing beyond what probes carry. */
    private static final double GOSSIP_RESERVE = 0.5;

    private final double bytesPerSecond;
    private final GossipMembership.Environment environment;
    private final DisseminationQueue disseminationQueue;
    private final GossipMetrics metrics;
    /** Bytes that may be sent now: those of one second at most. */
    private double allowance;

    private double refilledMs = Double.NaN;

    BandwidthLimitedSender(
            double bytesPerSecond,
            GossipMembership.Environment environment,
            DisseminationQueue disseminationQueue,
            GossipMetrics metrics) {
        this.bytesPerSecond = bytesPerSecond;
        this.environment = environment;
        this.disseminationQueue = disseminationQueue;
        this.metrics = metrics;
        allowance = bytesPerSecond;
    }

    boolean mayTell(double nowMs) {
        return allowance(nowMs) >= NEWS_RESERVE * bytesPerSecond;
    }

    boolean mayGossip(double nowMs) {
        return allowance(nowMs) >= GOSSIP_RESERVE * bytesPerSecond;
    }

    private double allowance(double nowMs) {
        if (!Double.isNaN(refilledMs)) {
            allowance = Math.min(bytesPerSecond, allowance + bytesPerSecond * (nowMs - refilledMs) / 1000);
        }
        refilledMs = nowMs;
        return allowance;
    }

    /** Sends a message if the allowance suffices; {@code withDisseminated} fills up its datagram with news. */
    boolean send(double nowMs, int to, Message message, boolean withDisseminated) {
        if (allowance(nowMs)
                < MessageCodec.size(
                        message.updates().size(),
                        message.accusations().size(),
                        message.digests().size())) {
            metrics.unsent++;
            return false;
        }
        boolean fill = withDisseminated && !disseminationQueue.isEmpty() && mayTell(nowMs);
        byte[] datagram = MessageCodec.encode(fill ? filled(message) : message);
        allowance -= datagram.length;
        metrics.sent++;
        metrics.sentBytes += datagram.length;
        environment.send(to, datagram);
        return true;
    }

    private Message filled(Message message) {
        List<Update> updates = new ArrayList<>(message.updates());
        List<Accusation> accusations = new ArrayList<>(message.accusations());
        disseminationQueue.fill(
                MessageCodec.MAX_BYTES
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
