package martenlatch.gossip;

/** What is believed of a peer. */
public enum PeerState {
    /** In the configuration, and never heard of. */
    ABSENT(0),
    /** Heard, by this member or by others. */
    ALIVE(1),
    /** Did not answer some member; it may yet show that it is alive. */
    SUSPECT(2),
    /** Did not answer its watchers, and nobody has heard it since. */
    FAULTY(3),
    /** Has said that it leaves. */
    LEFT(4);

    private final int code;

    PeerState(int code) {
        this.code = code;
    }

    /** The number that stands for it in digests of the member table. */
    int code() {
        return code;
    }
}
