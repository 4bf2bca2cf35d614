package martenlatch.discovery;

/** Carries polls to discovery, one at a time. */
public interface DiscoveryTransport {

    /**
     * Sends a poll. Its end is told by {@link EndpointListWatcher#onList} or {@link EndpointListWatcher#onFailure}, or
     * not at all.
     */
    void send(Poll poll);

    /** Gives up the outstanding poll, if there is one, and its connection. */
    void abort();
}
