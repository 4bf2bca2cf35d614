package martenlatch.peers;

/** What is believed of a peer. */
public enum PeerState {
    /** Told of, and never heard of. */
    ABSENT,
    /** Heard, by us or by others. */
    ALIVE,
    /** Did not answer somebody; it may yet show that it lives. */
    SUSPECT,
    /** Did not answer those who watch it, and nobody has heard it since. */
    FAULTY,
    /** Has said that it goes. */
    LEFT
}
