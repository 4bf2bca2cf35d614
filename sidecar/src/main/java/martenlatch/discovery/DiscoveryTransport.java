package martenlatch.discovery;

/** Sends polls to discovery: one at a time at its current address, besides those that were sent before it moved. */
public interface DiscoveryTransport {

    /**
     * Sends a poll. Its result is reported to {@link EndpointListWatcher#onList} or {@link
     * EndpointListWatcher#onFailure}, or not at all if no response arrives; the watcher has its own timeout.
     */
    void send(Poll poll);

    /** Aborts the outstanding poll at the current address, if there is one, and closes the connection. */
    void abort();

    /**
     * Sends further polls to the new address of discovery, while the outstanding poll continues at the previous one.
     *
     * @param outstanding the poll that continues until {@link #endSuperseded}, or null if there is none
     */
    void switchAddress(Poll outstanding);

    /** Aborts a poll that was sent before discovery moved, and closes its connection. */
    void endSuperseded(long poll);
}
