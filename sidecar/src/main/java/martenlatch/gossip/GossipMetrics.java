package martenlatch.gossip;

/**
 * Counts what a member has sent, received and dropped since its start. Counters are messages unless the name says
 * otherwise.
 */
public final class GossipMetrics {

    long sent;
    long sentBytes;
    /** Messages that were accepted. */
    long received;
    /** Messages that were damaged, could not be decoded or named a member that does not exist. */
    long malformed;
    /** Messages from an address that is no peer's or does not belong to the sender number in the message. */
    long wrongSender;
    /** Messages of another tier. */
    long otherTier;
    /** Messages of an earlier incarnation of their sender. */
    long earlierIncarnation;
    /** Messages, updates and accusations with an impossible incarnation. */
    long implausibleIncarnation;
    /** Messages not sent for lack of bandwidth. */
    long droppedForBandwidth;
    /** Pauses of the process. */
    long pauses;
    /** Refutations by this member of reports about itself. */
    long refutations;
    /** Probes started by this member. */
    long probes;

    /** Probes of this member that failed and count against their subject. */
    long failedProbes;
    /** Accusations by this member. */
    long accused;

    /** Peers that this member declared faulty. */
    long declaredFaulty;

    /** Returns the named counters for operators; the text is part of the admin API. */
    @Override
    public String toString() {
        return "sent " + sent + " (" + sentBytes + " bytes), heard " + received + ", malformed " + malformed
                + ", foreign " + wrongSender + ", of another tier " + otherTier + ", of an earlier life "
                + earlierIncarnation + ", insane " + implausibleIncarnation + ", unsent " + droppedForBandwidth
                + ", away " + pauses + ", refuted "
                + refutations
                + ", probes " + probes + " (" + failedProbes + " failed), accused " + accused + ", called faulty "
                + declaredFaulty;
    }
}
