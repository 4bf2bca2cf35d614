package martenlatch.gossip;

import java.util.List;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;
import martenlatch.gossip.Message.Word;

/**
 * Suspicions: who accuses whom, when a suspicion ends because its subject was heard, and when it becomes a fault
 * (SWIM's suspicion, with Lifeguard's shortening by agreement).
 */
final class SuspicionTracker {

    /** A peer heard within this time is alive: less than a probe takes to fail, so it was heard after its start. */
    private static final double FRESH_MS = 600;
    /** The shortest a suspicion lasts when several members agree: news goes there and back within it. */
    private static final double MIN_SUSPICION_MS = 1500;
    /** How many times as long it lasts where nobody else has found the same. */
    private static final double ALONE_MULTIPLE = 3;
    /** The number of others that agree which shortens a suspicion to its minimum (Lifeguard, section IV-C). */
    private static final int AGREEING = 2;
    /** Longer than operators and networks take to mend a partition; after it silence is death after all. */
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

    static boolean isFresh(double nowMs, Member peer) {
        return nowMs - peer.heardMs <= FRESH_MS;
    }

    /** This member was paused for so long: its suspicions wait on. */
    void onPaused(double pausedMs) {
        for (Member suspect : members.suspects()) {
            suspect.suspicion.sinceMs += pausedMs;
        }
    }

    /** A suspect was heard by this member, or by one that probed it on its behalf. */
    void acquit(double nowMs, Member peer) {
        List<Integer> accusers = peer.suspicion.accusers();
        changes.clear(nowMs, peer);
        disseminationQueue.dropAccusations(peer.number);
        tellHeard(nowMs, peer, accusers);
    }

    /** Another member has heard a suspect. */
    void onHeardByOther(double nowMs, Member peer, Update heard) {
        changes.clear(nowMs, peer);
        disseminationQueue.dropAccusations(peer.number);
        disseminationQueue.put(heard);
    }

    /** Tells that a peer was heard, first those that accuse it: it is they who would declare it faulty. */
    void tellHeard(double nowMs, Member peer, List<Integer> accusers) {
        if (nowMs - peer.toldHeardMs < settings.periodMs() / 2) {
            return;
        }
        peer.toldHeardMs = nowMs;
        Update heard = new Update(peer.number, Word.HEARD, peer.zone, peer.incarnation);
        disseminationQueue.put(heard);
        for (int accuser : accusers) {
            if (accuser != self.number() && accuser != peer.number) {
                sender.tell(nowMs, accuser, List.of(heard));
            }
        }
    }

    /** A member accuses a peer of not answering. */
    void onAccusation(double nowMs, Accusation accusation) {
        if (accusation.number() >= members.size() || accusation.accuser() >= members.size()) {
            metrics.malformed++;
        } else if (!Incarnations.isSane(accusation.incarnation(), nowMs)) {
            metrics.insane++;
        } else if (accusation.number() == self.number()) {
            if (!self.isLeaving()) {
                self.refute(nowMs, accusation.incarnation());
            }
        } else {
            onAccusationOfPeer(nowMs, members.get(accusation.number()), accusation);
        }
    }

    private void onAccusationOfPeer(double nowMs, Member peer, Accusation accusation) {
        if (accusation.incarnation() != peer.incarnation || !peer.mayLive()) {
            return;
        }
        if (isFresh(nowMs, peer)) {
            tellHeard(nowMs, peer, List.of(accusation.accuser()));
        } else if (nowMs - peer.clearedMs > MIN_SUSPICION_MS) {
            changes.suspect(nowMs, peer);
            if (peer.suspicion.add(accusation.accuser())) {
                spread(nowMs, accusation);
            }
        }
    }

    /** A probe of this member has failed. */
    void accuse(double nowMs, Member peer) {
        changes.suspect(nowMs, peer);
        peer.suspicion.own = true;
        peer.suspicion.add(self.number());
        spread(nowMs, new Accusation(peer.number, peer.incarnation, self.number()));
    }

    /** During a partition it is enough to tell that somebody was accused at all. */
    private void spread(double nowMs, Accusation accusation) {
        boolean partitioned = changes.isPartitioned(nowMs);
        Member peer = members.get(accusation.number());
        if (!partitioned || peer.suspicion.accusers().size() == 1) {
            disseminationQueue.put(accusation, partitioned);
        }
    }

    /** Ends the suspicions that have lasted long enough. */
    void review(double nowMs) {
        if (members.suspects().isEmpty()) {
            return;
        }
        boolean partitioned = changes.isPartitioned(nowMs);
        if (self.isUnreliable(nowMs)) {
            return;
        }
        double minMs = MIN_SUSPICION_MS + 2 * timeout.tailMs();
        for (Member peer : List.copyOf(members.suspects())) {
            double silentMs = nowMs - peer.suspicion.sinceMs;
            if (partitioned) {
                reviewInPartition(nowMs, peer, silentMs);
            } else {
                review(nowMs, peer, silentMs, minMs);
            }
        }
    }

    private void reviewInPartition(double nowMs, Member peer, double silentMs) {
        if (silentMs >= MAX_PARTITION_MS) {
            changes.move(nowMs, peer, PeerState.FAULTY);
            changes.disseminate(peer);
        }
    }

    private void review(double nowMs, Member peer, double silentMs, double minMs) {
        if (peer.suspicion.own && silentMs >= durationMs(minMs, peer)) {
            metrics.declaredFaulty++;
            changes.move(nowMs, peer, PeerState.FAULTY);
            changes.disseminate(peer);
        } else if (!peer.suspicion.own && silentMs >= 2 * ALONE_MULTIPLE * minMs) {
            // Those that accused it have not declared it faulty: they would have told by now.
            changes.clear(nowMs, peer);
        }
    }

    /** The more members have found the same, the shorter a suspicion lasts. */
    private static double durationMs(double minMs, Member peer) {
        double agree = Math.min(AGREEING, peer.suspicion.accusers().size() - 1);
        return minMs * (ALONE_MULTIPLE - (ALONE_MULTIPLE - 1) * Math.log(agree + 1) / Math.log(AGREEING + 1));
    }
}
