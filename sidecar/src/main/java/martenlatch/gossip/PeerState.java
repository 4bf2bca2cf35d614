package martenlatch.gossip;

/** The state of a peer in the view of this member. */
public enum PeerState {
    /** The peer is configured, and no member has reported it yet. */
    ABSENT(0),
    /** A message from the peer was received, by this member or by others. */
    ALIVE(1),
    /** The peer did not answer some member; it may still prove to be alive. */
    SUSPECT(2),
    /** The peer did not answer its watchers, and no member has received a message from it since. */
    FAULTY(3),
    /** The peer announced that it is leaving. */
    LEFT(4);

    private final int code;

    PeerState(int code) {
        this.code = code;
    }

    /** Returns the code in digests of the member table. */
    int code() {
        return code;
    }
}
