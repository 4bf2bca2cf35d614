package martenlatch.request;

import java.net.InetSocketAddress;
import java.util.List;
import martenlatch.policy.api.Endpoint;

/**
 * A list of endpoints, or changes to one.
 *
 * @param version the version that discovery gave it
 * @param full whether it is a whole list: what it does not name is gone
 * @param entries the endpoints
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {

    /**
     * An endpoint and where it listens.
     *
     * @param endpoint the endpoint
     * @param address null for one that is gone
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /** Hears what comes of polls for such lists. */
    public interface Listener {
        /** A list has come. */
        void onEndpointList(EndpointList list);

        /** The list that has come was all that was polled for, and the next poll is to be started by the listener. */
        void onPollCompleted();

        /** The poll has failed, and is to be started again by the listener. */
        void onPollFailed(PollFailure failure);

        /** Discovery is at another address, and polling is to be started there by the listener. */
        void onDiscoveryMoved();
    }

    /** The endpoints without their addresses, as the load balancer takes them. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
