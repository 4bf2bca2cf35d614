package martenlatch.gossip;

/** Changes what is believed of peers, and has it disseminated. */
final class MemberChanges {

    /** With so many updates waiting, further ones are disseminated less often: two messages full. */
    private static final int MANY_UPDATES = 64;

    private final MemberTable members;
    private final DisseminationQueue disseminationQueue;
    private final PartitionDetector partitions;
    private final GossipMembership.Environment environment;

    MemberChanges(
            MemberTable members,
            DisseminationQueue disseminationQueue,
            PartitionDetector partitions,
            GossipMembership.Environment environment) {
        this.members = members;
        this.disseminationQueue = disseminationQueue;
        this.partitions = partitions;
        this.environment = environment;
    }

    /** Whether so many are silent at once that it looks like a partition, and not like that many deaths. */
    boolean isPartitioned(double nowMs) {
        return partitions.isPartitioned(nowMs, members.suspects().size(), members.alive() + 1);
    }

    void move(double nowMs, Member peer, PeerState next) {
        PeerState before = peer.state;
        members.move(peer, next);
        if (next == PeerState.FAULTY && before != next) {
            partitions.onDeclaredFaulty(nowMs);
        }
        if (before != next) {
            environment.onStateChanged(peer.number, before, next);
        }
    }

    /** A peer was heard: a suspicion against it ends. */
    void clear(double nowMs, Member peer) {
        peer.clearedMs = nowMs;
        move(nowMs, peer, PeerState.ALIVE);
    }

    void suspect(double nowMs, Member peer) {
        if (!peer.isIn(PeerState.SUSPECT)) {
            move(nowMs, peer, PeerState.SUSPECT);
            peer.suspicion = new Member.Suspicion(nowMs);
        }
    }

    /** A peer is said to be faulty; during a partition it only counts as silent. */
    void declareFaulty(double nowMs, Member peer) {
        if (isPartitioned(nowMs)) {
            suspect(nowMs, peer);
        } else {
            move(nowMs, peer, PeerState.FAULTY);
        }
    }

    void disseminate(Member peer) {
        disseminate(peer, false);
    }

    /**
     * Disseminates what is believed of a peer. That a peer exists at all, where nothing was known of it, is also found
     * by comparing tables, and of a whole fleet at once when that starts: it is told less often. So is everything
     * while much is waiting: telling all of it often would take longer than comparing.
     */
    void disseminate(Member peer, boolean firstHeardOf) {
        disseminationQueue.dropAccusations(peer.number);
        boolean rarely = firstHeardOf || disseminationQueue.size() > MANY_UPDATES;
        disseminationQueue.put(peer.asUpdate(), rarely);
    }
}
