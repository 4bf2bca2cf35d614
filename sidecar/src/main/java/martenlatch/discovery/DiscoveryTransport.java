package martenlatch.discovery;

/** Sends polls to discovery: one at a time on its current connection, besides those that continue on earlier ones. */
public interface DiscoveryTransport {

    /**
     * Sends a poll. Its result is reported to {@link EndpointListWatcher#onList} or {@link
     * EndpointListWatcher#onFailure}, or not at all if no response arrives; the watcher has its own timeout.
     */
    void send(Poll poll);

    /** Sends a poll as above on a new connection of its own, which ends with {@link #endSuperseded}. */
    void sendBeside(Poll poll);

    /** Aborts the outstanding poll at the current address, if there is one, and closes the connection. */
    void abort();

    /**
     * Sends further polls on a new connection to the current address of discovery, while the outstanding poll continues
     * on its own.
     *
     * @param outstanding the poll that continues until {@link #endSuperseded}, or null if there is none
     */
    void useNewConnection(Poll outstanding);

    /** Aborts a poll that continues on a connection of its own, and closes that connection. */
    void endSuperseded(long poll);
}
