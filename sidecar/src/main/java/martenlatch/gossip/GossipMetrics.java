package martenlatch.gossip;

/** What a member has sent, received and dropped since its start: messages, or bytes where the name says so. */
public final class GossipMetrics {

    long sent;
    long sentBytes;
    long heard;
    /** Damaged, not a message at all, or of a number that no member has. */
    long malformed;
    /** From an address that is no peer's, or not that of the number in the message. */
    long foreign;
    /** Of another tier. */
    long otherTier;
    /** Of an earlier life of its sender. */
    long earlierLife;
    /** With an impossible incarnation. */
    long insane;
    /** Not sent, for lack of bandwidth. */
    long unsent;
    /** Pauses of the process. */
    long pauses;
    /** Refutations of what others believed of this member. */
    long refuted;
    /** Probes of this member, and those that failed. */
    long probes;

    long failedProbes;
    /** Accusations by this member, and peers that it declared faulty. */
    long accused;

    long declaredFaulty;

    /** The figures with names, for operators; the words are part of the admin API. */
    @Override
    public String toString() {
        return "sent " + sent + " (" + sentBytes + " bytes), heard " + heard + ", malformed " + malformed
                + ", foreign " + foreign + ", of another tier " + otherTier + ", of an earlier life "
                + earlierLife + ", insane " + insane + ", unsent " + unsent + ", away " + pauses + ", refuted "
                + refuted
                + ", probes " + probes + " (" + failedProbes + " failed), accused " + accused + ", called faulty "
                + declaredFaulty;
    }
}
