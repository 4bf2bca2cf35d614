package martenlatch.gossip;

import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Update;

/** Sends each kind of message, with what this member tells of itself. */
final class GossipSender {

    private final GossipSettings settings;
    private final LocalMember self;
    private final BandwidthLimitedSender limited;

    GossipSender(GossipSettings settings, LocalMember self, BandwidthLimitedSender limited) {
        this.settings = settings;
        this.self = self;
        this.limited = limited;
    }

    /** Whether there is bandwidth for more than bare probes and their answers. */
    boolean mayTell(double nowMs) {
        return limited.mayTell(nowMs);
    }

    /** Whether there is bandwidth for gossip and for comparing whole tables. */
    boolean mayGossip(double nowMs) {
        return limited.mayGossip(nowMs);
    }

    /** Tells a peer just these updates. */
    void tell(double nowMs, int to, List<Update> updates) {
        send(nowMs, to, Kind.GOSSIP, 0, to, updates, List.of(), List.of(), false);
    }

    /** Gossips what waits to be disseminated. */
    void gossip(double nowMs, int to) {
        send(nowMs, to, Kind.GOSSIP, 0, to, List.of(), List.of(), List.of(), true);
    }

    /** Probes a peer, with what it must know to refute it, and with what waits to be disseminated. */
    boolean ping(
            double nowMs, int to, int sequence, List<Update> updates, List<Accusation> accusations, Digest digest) {
        return send(nowMs, to, Kind.PING, sequence, to, updates, accusations, List.of(digest), true);
    }

    /** Probes a peer on behalf of another. */
    void pingForOther(double nowMs, int to, int sequence, List<Update> updates) {
        send(nowMs, to, Kind.PING, sequence, to, updates, List.of(), List.of(), false);
    }

    /** Asks a peer to compare these parts of its table with this member's. */
    boolean compare(double nowMs, int to, int sequence, List<Digest> digests) {
        return send(nowMs, to, Kind.PING, sequence, to, List.of(), List.of(), digests, false);
    }

    /** Asks a peer to probe another. */
    void requestProbe(double nowMs, int to, int sequence, int subject) {
        send(nowMs, to, Kind.TRY, sequence, subject, List.of(), List.of(), List.of(), false);
    }

    /** Answers a probe; without updates of its own the answer carries what waits to be disseminated. */
    void ack(double nowMs, int to, int sequence, List<Update> updates) {
        send(nowMs, to, Kind.ACK, sequence, self.number(), updates, List.of(), List.of(), updates.isEmpty());
    }

    /** Passes on the answer of a peer that was probed on behalf of another. */
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
            boolean withDisseminated) {
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
        return limited.send(nowMs, to, message, withDisseminated);
    }
}
