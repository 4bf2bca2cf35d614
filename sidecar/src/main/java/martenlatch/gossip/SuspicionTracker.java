package martenlatch.gossip;

import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Status;
import martenlatch.gossip.Message.Update;

/**
 * Tracks suspicions: which members accuse a peer, when a message from the peer clears the suspicion, and when the peer
 * is declared faulty (the suspicion mechanism of SWIM, shortened by confirmations as in Lifeguard).
 */
final class SuspicionTracker {

    /**
     * A peer from which a message was received within this time is alive. It is shorter than a probe takes to fail, so
     * the message arrived after the start of the probe.
     */
    private static final double RECENTLY_HEARD_MS = 600;
    /**
     * The duration of a suspicion that several members confirm: enough for an update to reach the peer and a refutation
     * to return.
     */
    private static final double MIN_SUSPICION_MS = 1500;
    /** The multiple of the minimum duration for a suspicion that no other member confirms. */
    private static final double UNCONFIRMED_MULTIPLE = 3;
    /** The number of confirmations by others that shortens a suspicion to its minimum (Lifeguard, section IV-C). */
    private static final int CONFIRMATIONS_FOR_MINIMUM = 2;
    /**
     * During a partition, a suspect is declared faulty after this time, which is longer than operators and networks
     * take to repair one.
     */
    private static final double MAX_PARTITION_MS = 120_000;

    private final GossipSettings settings;
    private final LocalMember self;
    private final MemberTable members;
    private final MemberChanges changes;
    private final DisseminationQueue disseminationQueue;
    private final GossipSender sender;
    private final AdaptiveTimeout timeout;
    private final GossipMetrics metrics;

    SuspicionTracker(
            GossipSettings settings,
            LocalMember self,
            MemberTable members,
            MemberChanges changes,
            DisseminationQueue disseminationQueue,
            GossipSender sender,
            AdaptiveTimeout timeout,
            GossipMetrics metrics) {
        this.settings = settings;
        this.self = self;
        this.members = members;
        this.changes = changes;
        this.disseminationQueue = disseminationQueue;
        this.sender = sender;
        this.timeout = timeout;
        this.metrics = metrics;
    }

    /** Returns whether a message from the peer was received recently. */
    static boolean wasHeardRecently(double nowMs, Member peer) {
        return nowMs - peer.lastHeardMs <= RECENTLY_HEARD_MS;
    }

    /** Called when this member was paused: extends the suspicions by the length of the pause. */
    void onPaused(double pausedMs) {
        for (Member suspect : members.suspects()) {
            suspect.suspicion.sinceMs += pausedMs;
        }
    }

    /** Called when a message from a suspect arrives at this member, or at one that probed it on its behalf. */
    void onSubjectHeard(double nowMs, Member peer) {
        List<Integer> accusers = peer.suspicion.accusers();
        changes.clearSuspicion(nowMs, peer);
        disseminationQueue.dropAccusations(peer.number);
        reportHeard(nowMs, peer, accusers);
    }

    /** Called when another member reports a message from a suspect. */
    void onHeardByOther(double nowMs, Member peer, Update heard) {
        changes.clearSuspicion(nowMs, peer);
        disseminationQueue.dropAccusations(peer.number);
        disseminationQueue.enqueue(heard);
    }

    /**
     * Reports that a message from a peer was received. The accusers are notified first, because they would declare the
     * peer faulty.
     */
    void reportHeard(double nowMs, Member peer, List<Integer> accusers) {
        if (nowMs - peer.lastReportedHeardMs < settings.periodMs() / 2) {
            return;
        }
        peer.lastReportedHeardMs = nowMs;
        Update heard = new Update(peer.number, Status.HEARD, peer.zone, peer.incarnation);
        disseminationQueue.enqueue(heard);
        for (int accuser : accusers) {
            if (accuser != self.number() && accuser != peer.number) {
                sender.sendUpdates(nowMs, accuser, List.of(heard));
            }
        }
    }

    /** Called when a member accuses a peer of not answering. */
    void onAccusation(double nowMs, Accusation accusation) {
        if (accusation.number() >= members.size() || accusation.accuser() >= members.size()) {
            metrics.malformed++;
        } else if (!Incarnations.isPlausible(accusation.incarnation(), nowMs)) {
            metrics.implausibleIncarnation++;
        } else if (accusation.number() == self.number()) {
            if (!self.isLeaving()) {
                self.refute(nowMs, accusation.incarnation());
            }
        } else {
            onAccusationOfPeer(nowMs, members.get(accusation.number()), accusation);
        }
    }

    private void onAccusationOfPeer(double nowMs, Member peer, Accusation accusation) {
        if (accusation.incarnation() != peer.incarnation || !peer.mayBeAlive()) {
            return;
        }
        if (wasHeardRecently(nowMs, peer)) {
            reportHeard(nowMs, peer, List.of(accusation.accuser()));
        } else if (nowMs - peer.suspicionClearedMs > MIN_SUSPICION_MS) {
            changes.suspect(nowMs, peer);
            if (peer.suspicion.add(accusation.accuser())) {
                disseminate(nowMs, accusation);
            }
        }
    }

    /** Called when a probe by this member has failed: accuses the peer. */
    void accuse(double nowMs, Member peer) {
        changes.suspect(nowMs, peer);
        peer.suspicion.ownProbeFailed = true;
        peer.suspicion.add(self.number());
        disseminate(nowMs, new Accusation(peer.number, peer.incarnation, self.number()));
    }

    /** Disseminates an accusation. During a partition only the first accusation of a peer is disseminated. */
    private void disseminate(double nowMs, Accusation accusation) {
        boolean partitioned = changes.isPartitioned(nowMs);
        Member peer = members.get(accusation.number());
        if (!partitioned || peer.suspicion.accusers().size() == 1) {
            disseminationQueue.enqueue(accusation, partitioned);
        }
    }

    /** Ends the suspicions that have lasted long enough. */
    void checkExpiry(double nowMs) {
        if (members.suspects().isEmpty()) {
            return;
        }
        boolean partitioned = changes.isPartitioned(nowMs);
        if (self.isUnreliable(nowMs)) {
            return;
        }
        double minDurationMs = MIN_SUSPICION_MS + 2 * timeout.tailLatencyMs();
        for (Member peer : List.copyOf(members.suspects())) {
            double suspectedForMs = nowMs - peer.suspicion.sinceMs;
            if (partitioned) {
                checkExpiryInPartition(nowMs, peer, suspectedForMs);
            } else {
                checkExpiry(nowMs, peer, suspectedForMs, minDurationMs);
            }
        }
    }

    private void checkExpiryInPartition(double nowMs, Member peer, double suspectedForMs) {
        if (suspectedForMs >= MAX_PARTITION_MS) {
            changes.setState(nowMs, peer, PeerState.FAULTY);
            changes.disseminate(peer);
        }
    }

    private void checkExpiry(double nowMs, Member peer, double suspectedForMs, double minDurationMs) {
        if (peer.suspicion.ownProbeFailed && suspectedForMs >= durationMs(minDurationMs, peer)) {
            metrics.declaredFaulty++;
            changes.setState(nowMs, peer, PeerState.FAULTY);
            changes.disseminate(peer);
        } else if (!peer.suspicion.ownProbeFailed && suspectedForMs >= 2 * UNCONFIRMED_MULTIPLE * minDurationMs) {
            // The accusers have not declared the peer faulty: a report would have arrived by now.
            changes.clearSuspicion(nowMs, peer);
        }
    }

    /** Returns the duration of a suspicion: the more members confirm it, the shorter. */
    private static double durationMs(double minDurationMs, Member peer) {
        double confirmations =
                Math.min(CONFIRMATIONS_FOR_MINIMUM, peer.suspicion.accusers().size() - 1);
        return minDurationMs
                * (UNCONFIRMED_MULTIPLE
                        - (UNCONFIRMED_MULTIPLE - 1)
                                * Math.log(confirmations + 1)
                                / Math.log(CONFIRMATIONS_FOR_MINIMUM + 1));
    }
}
