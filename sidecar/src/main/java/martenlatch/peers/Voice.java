package martenlatch.peers;

import java.util.ArrayList;
import java.util.List;
import martenlatch.peers.Message.Accusation;
import martenlatch.peers.Message.Update;

/**
 * What a member sends, within what it may send: probes and their answers first, then what they carry, then
 * all else.
 */
final class Voice {

    /** Below this part of what may be sent nothing goes but bare probes and answers. */
    private static final double NEWS_RESERVE = 0.25;
    /** And below this one no gossip, and no comparing beyond what probes carry. */
    private static final double GOSSIP_RESERVE = 0.5;

    private final double perSecond;
    private final Peers.Line line;
    private final News news;
    private final Counts counts;
    /** Bytes that may be sent now; a second's at most. */
    private double allowance;

    private double toppedUp = Double.NaN;

    Voice(double bytesPerSecond, Peers.Line line, News news, Counts counts) {
        perSecond = bytesPerSecond;
        allowance = bytesPerSecond;
        this.line = line;
        this.news = news;
        this.counts = counts;
    }

    boolean mayTell(double now) {
        return allowance(now) >= NEWS_RESERVE * perSecond;
    }

    boolean mayGossip(double now) {
        return allowance(now) >= GOSSIP_RESERVE * perSecond;
    }

    private double allowance(double now) {
        if (!Double.isNaN(toppedUp)) {
            allowance = Math.min(perSecond, allowance + perSecond * (now - toppedUp) / 1000);
        }
        toppedUp = now;
        return allowance;
    }

    /** Sends, if it may; {@code withNews} fills up what is left of the datagram. */
    boolean say(double now, int to, Message message, boolean withNews) {
        if (allowance(now)
                < MessageCodec.size(
                        message.updates().size(),
                        message.accusations().size(),
                        message.digests().size())) {
            counts.unsent++;
            return false;
        }
        Message whole = withNews && !news.isEmpty() && mayTell(now) ? filled(message) : message;
        byte[] datagram = MessageCodec.encode(whole);
        allowance -= datagram.length;
        counts.sent++;
        counts.sentBytes += datagram.length;
        line.send(to, datagram);
        return true;
    }

    private Message filled(Message message) {
        List<Update> updates = new ArrayList<>(message.updates());
        List<Accusation> accusations = new ArrayList<>(message.accusations());
        news.fill(
                MessageCodec.MOST
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
