package martenlatch.host;

/** What keeps track of where endpoints are, for those that send to them. */
public interface EndpointTable {

    /** Takes in a list, before the decision module hears of it. */
    void update(ServerList list);

    /**
     * The decision module has heard of the list: attempts that still wait for a connection to an endpoint
     * that takes nothing new any more, or is another process now, end as {@code IGNORED}.
     */
    void withdraw();

    /** Lets go of what is kept open to an endpoint for later. */
    void closeIdleConnections(String server);
}
