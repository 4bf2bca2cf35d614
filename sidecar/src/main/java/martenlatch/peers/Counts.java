package martenlatch.peers;

/** What a member has sent, heard and dropped since its start, in messages; bytes where it says so. */
public final class Counts {
    long sent;
    long sentBytes;
    long heard;
    /** Changed on the way, no message at all, or of a number that nobody has. */
    long malformed;
    /** From an address that is no peer's, or not that of the number it names. */
    long foreign;
    /** Of another tier. */
    long otherTier;
    /** Of an earlier life of its sender's. */
    long earlierLife;
    /** With an incarnation that cannot be. */
    long insane;
    /** Not sent, as there was no room in what may be sent. */
    long unsent;
    /** Times that we stood still. */
    long away;
    /** Times that we had to contradict. */
    long refuted;
    /** Of our own probes. */
    long probes;

    long failedProbes;
    long accused;
    long calledFaulty;

    /** As figures with names, for operators. */
    @Override
    public String toString() {
        return "sent " + sent + " (" + sentBytes + " bytes), heard " + heard + ", malformed " + malformed
                + ", foreign " + foreign + ", of another tier " + otherTier + ", of an earlier life "
                + earlierLife + ", insane " + insane + ", unsent " + unsent + ", away " + away + ", refuted "
                + refuted
                + ", probes " + probes + " (" + failedProbes + " failed), accused " + accused + ", called faulty "
                + calledFaulty;
    }
}
