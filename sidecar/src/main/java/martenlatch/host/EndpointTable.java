package martenlatch.host;

/** What keeps track of where endpoints are, for those that send to them. */
public interface EndpointTable {

    /** Takes in a list, before the decision module hears of it. */
    void update(ServerList list);

    /** Lets go of what is kept open to an endpoint for later. */
    void disconnect(String server);
}
