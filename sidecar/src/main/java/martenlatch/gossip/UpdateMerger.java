package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Status;
import martenlatch.gossip.Message.Update;

/** Merges the updates of peers, and the state that the messages of a sender show, into the member table. */
final class UpdateMerger {

    private final LocalMember self;
    private final MemberTable members;
    private final MemberChanges changes;
    private final SuspicionTracker suspicions;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final GossipSender sender;
    private final GossipMetrics metrics;

    UpdateMerger(
            LocalMember self,
            MemberTable members,
            MemberChanges changes,
            SuspicionTracker suspicions,
            FailureDetector failureDetector,
            AntiEntropy antiEntropy,
            GossipSender sender,
            GossipMetrics metrics) {
        this.self = self;
        this.members = members;
        this.changes = changes;
        this.suspicions = suspicions;
        this.failureDetector = failureDetector;
        this.antiEntropy = antiEntropy;
        this.sender = sender;
        this.metrics = metrics;
    }

    /**
     * Called when a message of the current or a later incarnation of its sender arrives: the sender is alive or
     * leaving.
     */
    void onHeard(double nowMs, Member peer, Message message) {
        peer.zone = message.zone();
        boolean leaving = message.hasFlag(Message.LEAVING);
        if (message.incarnation() > peer.incarnation) {
            boolean newlyDiscovered = peer.isIn(PeerState.ABSENT);
            peer.incarnation = message.incarnation();
            peer.lastHeardMs = nowMs;
            changes.setState(nowMs, peer, leaving ? PeerState.LEFT : PeerState.ALIVE);
            changes.disseminate(peer, newlyDiscovered);
            return;
        }
        if (peer.isIn(PeerState.FAULTY) || peer.isIn(PeerState.LEFT)) {
            // An incarnation that was declared faulty or has left does not return. If the member is alive, it announces
            // a higher one once it is notified.
            return;
        }
        peer.lastHeardMs = nowMs;
        if (leaving) {
            changes.setState(nowMs, peer, PeerState.LEFT);
            changes.disseminate(peer);
        } else if (peer.isIn(PeerState.SUSPECT)) {
            suspicions.onSubjectHeard(nowMs, peer);
        } else if (message.hasFlag(Message.CUT_OFF)) {
            // The sender cannot answer probes, so its probers are notified that it is alive.
            suspicions.reportHeard(nowMs, peer, List.of());
        }
    }

    /** Merges the updates of a message, and sends newer ones back to its sender. */
    void merge(double nowMs, Member peer, Message message) {
        int unknownIncarnations = 0;
        List<Update> newer = new ArrayList<>();
        for (Update update : message.updates()) {
            if (merge(nowMs, update)) {
                unknownIncarnations++;
            } else if (isOutdated(update)) {
                newer.add(members.get(update.number()).asUpdate());
            }
        }
        antiEntropy.onUnknownIncarnations(nowMs, unknownIncarnations);
        if (message.kind() != Kind.ACK) {
            return;
        }
        int comparedBuckets = failureDetector.comparedBuckets(peer, message);
        if (comparedBuckets > 0) {
            antiEntropy.onCompared(comparedBuckets, unknownIncarnations + newer.size() == 0);
        }
        // Newer updates are sent only in response to answers: otherwise two members that disagree would go on for ever.
        if (!newer.isEmpty() && sender.maySendUpdates(nowMs)) {
            sender.sendUpdates(nowMs, peer.number, newer);
        }
    }

    private boolean isOutdated(Update update) {
        return update.number() < members.size()
                && update.number() != self.number()
                && update.incarnation() < members.get(update.number()).incarnation;
    }

    /** Merges one update; returns true if its incarnation was not known. */
    private boolean merge(double nowMs, Update update) {
        if (update.number() >= members.size()) {
            metrics.malformed++;
            return false;
        }
        if (!Incarnations.isPlausible(update.incarnation(), nowMs)) {
            metrics.implausibleIncarnation++;
            return false;
        }
        if (update.number() == self.number()) {
            mergeAboutSelf(nowMs, update);
            return false;
        }
        Member peer = members.get(update.number());
        if (update.incarnation() > peer.incarnation) {
            applyNewIncarnation(nowMs, peer, update);
            return true;
        }
        if (update.incarnation() == peer.incarnation) {
            applySameIncarnation(nowMs, peer, update);
        }
        return false;
    }

    private void mergeAboutSelf(double nowMs, Update update) {
        boolean wrong = update.status() == Status.FAULTY || (update.status() == Status.LEFT && !self.isLeaving());
        // A higher incarnation comes from an earlier run with another clock, or from another process with the same
        // number.
        if (wrong || update.incarnation() > self.incarnation()) {
            self.refute(nowMs, update.incarnation());
        }
    }

    private void applyNewIncarnation(double nowMs, Member peer, Update update) {
        boolean newlyDiscovered = peer.isIn(PeerState.ABSENT);
        peer.incarnation = update.incarnation();
        peer.zone = update.zone();
        peer.lastHeardMs = Double.NEGATIVE_INFINITY;
        switch (update.status()) {
            case FAULTY -> changes.declareFaulty(nowMs, peer);
            case LEFT -> changes.setState(nowMs, peer, PeerState.LEFT);
            default -> changes.setState(nowMs, peer, PeerState.ALIVE);
        }
        if (!peer.isIn(PeerState.SUSPECT)) {
            changes.disseminate(peer, newlyDiscovered);
        }
    }

    private void applySameIncarnation(double nowMs, Member peer, Update update) {
        switch (update.status()) {
            case HEARD -> {
                if (peer.isIn(PeerState.SUSPECT)) {
                    suspicions.onHeardByOther(nowMs, peer, update);
                }
            }
            case FAULTY -> onDeclaredFaulty(nowMs, peer);
            case LEFT -> {
                if (!peer.isIn(PeerState.LEFT)) {
                    changes.setState(nowMs, peer, PeerState.LEFT);
                    changes.disseminate(peer);
                }
            }
            default -> {}
        }
    }

    private void onDeclaredFaulty(double nowMs, Member peer) {
        if (!peer.mayBeAlive()) {
            return;
        }
        if (SuspicionTracker.wasHeardRecently(nowMs, peer)) {
            suspicions.reportHeard(nowMs, peer, List.of());
            return;
        }
        changes.declareFaulty(nowMs, peer);
        if (peer.isIn(PeerState.FAULTY)) {
            changes.disseminate(peer);
        }
    }
}
