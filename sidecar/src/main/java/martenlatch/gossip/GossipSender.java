package martenlatch.gossip;

import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Update;

/** Builds and sends each kind of message, with the sender fields of this member. */
final class GossipSender {

    private final GossipSettings settings;
    private final LocalMember self;
    private final BandwidthLimitedSender limitedSender;

    GossipSender(GossipSettings settings, LocalMember self, BandwidthLimitedSender limitedSender) {
        this.settings = settings;
        this.self = self;
        this.limitedSender = limitedSender;
    }

    /** Returns whether there is bandwidth for more than probes and answers without updates. */
    boolean maySendUpdates(double nowMs) {
        return limitedSender.maySendUpdates(nowMs);
    }

    /** Returns whether there is bandwidth for gossip and for table comparisons. */
    boolean mayGossip(double nowMs) {
        return limitedSender.mayGossip(nowMs);
    }

    /** Sends only the given updates to a peer. */
    void sendUpdates(double nowMs, int to, List<Update> updates) {
        send(nowMs, to, Kind.GOSSIP, 0, to, updates, List.of(), List.of(), false);
    }

    /** Sends queued updates and accusations to a peer as gossip. */
    void gossip(double nowMs, int to) {
        send(nowMs, to, Kind.GOSSIP, 0, to, List.of(), List.of(), List.of(), true);
    }

    /** Probes a peer; the message also carries the updates that the peer may have to refute, and queued items. */
    boolean ping(
            double nowMs, int to, int sequence, List<Update> updates, List<Accusation> accusations, Digest digest) {
        return send(nowMs, to, Kind.PING, sequence, to, updates, accusations, List.of(digest), true);
    }

    /** Probes a peer on behalf of another member. */
    void pingForOther(double nowMs, int to, int sequence, List<Update> updates) {
        send(nowMs, to, Kind.PING, sequence, to, updates, List.of(), List.of(), false);
    }

    /** Requests that a peer compares these buckets of its table with those of this member. */
    boolean compare(double nowMs, int to, int sequence, List<Digest> digests) {
        return send(nowMs, to, Kind.PING, sequence, to, List.of(), List.of(), digests, false);
    }

    /** Requests that a peer probes another member. */
    void requestProbe(double nowMs, int to, int sequence, int subject) {
        send(nowMs, to, Kind.PROBE_REQUEST, sequence, subject, List.of(), List.of(), List.of(), false);
    }

    /** Answers a probe. If {@code updates} is empty, the answer carries queued items instead. */
    void ack(double nowMs, int to, int sequence, List<Update> updates) {
        send(nowMs, to, Kind.ACK, sequence, self.number(), updates, List.of(), List.of(), updates.isEmpty());
    }

    /** Forwards the answer of a peer that was probed on behalf of another member. */
    void ackForOther(double nowMs, int to, int sequence, int subject) {
        send(nowMs, to, Kind.ACK, sequence, subject, List.of(), List.of(), List.of(), false);
    }

    private boolean send(
            double nowMs,
            int to,
            Kind kind,
            int sequence,
            int target,
            List<Update> updates,
            List<Accusation> accusations,
            List<Digest> digests,
            boolean mayPiggyback) {
        Message message = new Message(
                kind,
                settings.tier(),
                settings.zone(),
                settings.self(),
                self.incarnation(),
                sequence,
                target,
                self.flags(nowMs),
                updates,
                accusations,
                digests);
        return limitedSender.send(nowMs, to, message, mayPiggyback);
    }
}
