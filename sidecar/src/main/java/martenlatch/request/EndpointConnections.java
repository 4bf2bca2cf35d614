package martenlatch.request;

import java.util.Set;

/** Knows the addresses of endpoints and keeps connections to them. */
public interface EndpointConnections {

    /** Applies an endpoint list; called before the load balancer is notified of it. */
    void update(EndpointList list);

    /**
     * Replaces the set of endpoints that operators have disabled, to which nothing new is written. Called before the
     * load balancer is notified of it. Does nothing where others own the connections.
     */
    default void setDisabled(Set<String> endpointIds) {}

    /** Sets whether anything new may be sent to any endpoint. Called before the load balancer is notified of it. */
    default void setForwardingAllowed(boolean allowed) {}

    /** Returns whether a request may wait for its first attempt; false where others wait for the decision. */
    default boolean mayDelayDecisions() {
        return true;
    }

    /**
     * Ends attempts as {@code NOT_EXECUTED} that still wait for a connection to an endpoint which accepts no new
     * requests or was replaced by another process. Called after the load balancer was notified of the list.
     */
    void withdrawAttempts();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);
}
