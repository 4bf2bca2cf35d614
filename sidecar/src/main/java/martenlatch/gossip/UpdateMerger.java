package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Update;
import martenlatch.gossip.Message.Word;

/** Merges what peers tell of members, and what their messages show of themselves, into the member table. */
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

    /** A message of this or a later life of its sender shows that it is alive, or is leaving. */
    void onHeard(double nowMs, Member peer, Message message) {
        peer.zone = message.zone();
        boolean leaving = message.hasFlag(Message.LEAVING);
        if (message.incarnation() > peer.incarnation) {
            boolean first = peer.isIn(PeerState.ABSENT);
            peer.incarnation = message.incarnation();
            peer.heardMs = nowMs;
            changes.move(nowMs, peer, leaving ? PeerState.LEFT : PeerState.ALIVE);
            changes.disseminate(peer, first);
            return;
        }
        if (peer.isIn(PeerState.FAULTY) || peer.isIn(PeerState.LEFT)) {
            // An ended life does not come back: a member that is alive announces a higher incarnation when told.
            return;
        }
        peer.heardMs = nowMs;
        if (leaving) {
            changes.move(nowMs, peer, PeerState.LEFT);
            changes.disseminate(peer);
        } else if (peer.isIn(PeerState.SUSPECT)) {
            suspicions.acquit(nowMs, peer);
        } else if (message.hasFlag(Message.DEAF)) {
            // It cannot answer anybody: those that probe it should know that it was heard.
            suspicions.tellHeard(nowMs, peer, List.of());
        }
    }

    /** Merges the updates of a message, and tells its sender what it does not know yet. */
    void merge(double nowMs, Member peer, Message message) {
        int unknownLives = 0;
        List<Update> newer = new ArrayList<>();
        for (Update update : message.updates()) {
            if (merge(nowMs, update)) {
                unknownLives++;
            } else if (isOutdated(update)) {
                newer.add(members.get(update.number()).asUpdate());
            }
        }
        antiEntropy.onUnknownLives(nowMs, unknownLives);
        if (message.kind() != Kind.ACK) {
            return;
        }
        int comparedParts = failureDetector.comparedParts(peer, message);
        if (comparedParts > 0) {
            antiEntropy.onCompared(comparedParts, unknownLives + newer.size() == 0);
        }
        // Only answers are answered so: two members that disagree would otherwise go on for ever.
        if (!newer.isEmpty() && sender.mayTell(nowMs)) {
            sender.tell(nowMs, peer.number, newer);
        }
    }

    private boolean isOutdated(Update update) {
        return update.number() < members.size()
                && update.number() != self.number()
                && update.incarnation() < members.get(update.number()).incarnation;
    }

    /** Merges one update; true if it is of a life that was not known. */
    private boolean merge(double nowMs, Update update) {
        if (update.number() >= members.size()) {
            metrics.malformed++;
            return false;
        }
        if (!Incarnations.isSane(update.incarnation(), nowMs)) {
            metrics.insane++;
            return false;
        }
        if (update.number() == self.number()) {
            mergeOwn(nowMs, update);
            return false;
        }
        Member peer = members.get(update.number());
        if (update.incarnation() > peer.incarnation) {
            startLife(nowMs, peer, update);
            return true;
        }
        if (update.incarnation() == peer.incarnation) {
            continueLife(nowMs, peer, update);
        }
        return false;
    }

    private void mergeOwn(double nowMs, Update update) {
        boolean wrong = update.word() == Word.FAULTY || (update.word() == Word.LEFT && !self.isLeaving());
        // A higher incarnation is of an earlier life with another clock, or of another process with this number.
        if (wrong || update.incarnation() > self.incarnation()) {
            self.refute(nowMs, update.incarnation());
        }
    }

    private void startLife(double nowMs, Member peer, Update update) {
        boolean first = peer.isIn(PeerState.ABSENT);
        peer.incarnation = update.incarnation();
        peer.zone = update.zone();
        peer.heardMs = Double.NEGATIVE_INFINITY;
        switch (update.word()) {
            case FAULTY -> changes.declareFaulty(nowMs, peer);
            case LEFT -> changes.move(nowMs, peer, PeerState.LEFT);
            default -> changes.move(nowMs, peer, PeerState.ALIVE);
        }
        if (!peer.isIn(PeerState.SUSPECT)) {
            changes.disseminate(peer, first);
        }
    }

    private void continueLife(double nowMs, Member peer, Update update) {
        switch (update.word()) {
            case HEARD -> {
                if (peer.isIn(PeerState.SUSPECT)) {
                    suspicions.onHeardByOther(nowMs, peer, update);
                }
            }
            case FAULTY -> onDeclaredFaulty(nowMs, peer);
            case LEFT -> {
                if (!peer.isIn(PeerState.LEFT)) {
                    changes.move(nowMs, peer, PeerState.LEFT);
                    changes.disseminate(peer);
                }
            }
            default -> {}
        }
    }

    private void onDeclaredFaulty(double nowMs, Member peer) {
        if (!peer.mayLive()) {
            return;
        }
        if (SuspicionTracker.isFresh(nowMs, peer)) {
            suspicions.tellHeard(nowMs, peer, List.of());
            return;
        }
        changes.declareFaulty(nowMs, peer);
        if (peer.isIn(PeerState.FAULTY)) {
            changes.disseminate(peer);
        }
    }
}
