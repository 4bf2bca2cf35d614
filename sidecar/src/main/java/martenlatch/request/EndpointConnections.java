package martenlatch.request;

/** What knows where endpoints listen and keeps connections to them. */
public interface EndpointConnections {

    /** Takes over an endpoint list, before the load balancer hears of it. */
    void update(EndpointList list);

    /**
     * The load balancer has heard of the list: attempts that still wait for a connection to an endpoint that takes
     * nothing new any more, or is another process now, end as {@code NOT_EXECUTED}.
     */
    void withdrawAttempts();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);
}
