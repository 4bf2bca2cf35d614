package martenlatch.gossip;

/** Changes the states of peers and disseminates them. */
final class MemberChanges {

    /**
     * With more items than this in the queue, which fill two messages, updates are disseminated with reduced
     * transmissions.
     */
    private static final int REDUCED_TRANSMISSION_THRESHOLD = 64;

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

    /** Returns whether so many peers are silent at once that a partition is likelier than that many deaths. */
    boolean isPartitioned(double nowMs) {
        return partitions.isPartitioned(nowMs, members.suspects().size(), members.alive() + 1);
    }

    /** Sets the state of a peer, and notifies the partition detector and the environment of a change. */
    void setState(double nowMs, Member peer, PeerState next) {
        PeerState before = peer.state;
        members.setState(peer, next);
        if (next == PeerState.FAULTY && before != next) {
            partitions.onDeclaredFaulty(nowMs);
        }
        if (before != next) {
            environment.onStateChanged(peer.number, before, next);
        }
    }

    /** Ends the suspicion against a peer and marks it as alive. */
    void clearSuspicion(double nowMs, Member peer) {
        peer.suspicionClearedMs = nowMs;
        setState(nowMs, peer, PeerState.ALIVE);
    }

    /** Marks a peer as suspected unless it is already. */
    void suspect(double nowMs, Member peer) {
        if (!peer.isIn(PeerState.SUSPECT)) {
            setState(nowMs, peer, PeerState.SUSPECT);
            peer.suspicion = new Member.Suspicion(nowMs);
        }
    }

    /** Marks a peer that was reported as faulty; during a partition it is only suspected. */
    void declareFaulty(double nowMs, Member peer) {
        if (isPartitioned(nowMs)) {
            suspect(nowMs, peer);
        } else {
            setState(nowMs, peer, PeerState.FAULTY);
        }
    }

    /** Disseminates the state of a peer that was known before. */
    void disseminate(Member peer) {
        disseminate(peer, false);
    }

    /**
     * Disseminates the state of a peer. Updates on newly discovered peers get reduced transmissions: comparing tables
     * finds them too, and when a fleet starts there are many at once. So do all updates while the queue is long:
     * sending them often would take longer than comparing tables.
     */
    void disseminate(Member peer, boolean newlyDiscovered) {
        disseminationQueue.dropAccusations(peer.number);
        boolean reducedTransmissions = newlyDiscovered || disseminationQueue.size() > REDUCED_TRANSMISSION_THRESHOLD;
        disseminationQueue.enqueue(peer.asUpdate(), reducedTransmissions);
    }
}
