package martenlatch.discovery;

/** Carries polls to discovery: one at a time at its present address, and those that were sent before it moved. */
public interface DiscoveryTransport {

    /**
     * Sends a poll. Its end is told by {@link EndpointListWatcher#onList} or {@link EndpointListWatcher#onFailure}, or
     * not at all.
     */
    void send(Poll poll);

    /** Gives up the outstanding poll at the present address, if there is one, and its connection. */
    void abort();

    /**
     * Discovery is at another address: polls go there from now on, while this one goes on at the address before.
     *
     * @param outstanding the poll that goes on until {@link #endSuperseded}, or null
     */
    void switchAddress(Poll outstanding);

    /** Gives up a poll that was sent before discovery moved, and its connection. */
    void endSuperseded(long poll);
}
