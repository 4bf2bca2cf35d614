package martenlatch.request;

import java.net.InetSocketAddress;
import java.util.List;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.PollFailure;

/**
 * The whole list of endpoints, or changes to it.
 *
 * @param version the version that discovery assigned
 * @param full whether this is the whole list, in which case endpoints that are not in it are gone
 * @param entries the endpoints, or those that have changed
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {

    /**
     * An endpoint and its address.
     *
     * @param endpoint the endpoint
     * @param address the address on which it listens, or null if it is gone
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /** Receives the results of polls for endpoint lists. */
    public interface Listener {
        /** Called when bytes of a response arrive, before its list is complete. */
        default void onResponseBytes() {}

        /** Called when a list arrives. */
        void onEndpointList(EndpointList list);

        /**
         * Called when a poll is complete and no further one was sent; the listener has to start the next poll.
         *
         * @param listAgeMs the time since discovery began to write the list, in milliseconds
         */
        void onPollCompleted(double listAgeMs);

        /**
         * Called when a poll fails; the listener has to start the next poll.
         *
         * @param listAgeMs the time since discovery last confirmed the list, in milliseconds; infinite if it never did
         */
        void onPollFailed(PollFailure failure, double listAgeMs);

        /**
         * Called when discovery has moved to another address; the listener has to start polling there.
         *
         * @param listAgeMs as in {@link #onPollFailed}
         */
        void onDiscoveryMoved(double listAgeMs);

        /** Called when requests may no longer be forwarded by the list in use, and when they may again. */
        default void onForwardingChanged(boolean allowed) {}
    }

    /** Returns the endpoints without their addresses, for the load balancer. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
