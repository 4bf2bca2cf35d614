package martenlatch.frontend.extproc;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;

/** Holds the destinations of all endpoints that accept new requests. */
public final class EndpointAddresses implements EndpointConnections {

    private final Map<String, EndpointDestination> readyDestinations = new HashMap<>();
    private boolean forwardingAllowed = true;

    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            Set<String> listedIds = new HashSet<>();
            list.entries().forEach(entry -> listedIds.add(entry.endpoint().id()));
            readyDestinations.keySet().retainAll(listedIds);
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().status() == EndpointStatus.READY) {
                readyDestinations.put(entry.endpoint().id(), new EndpointDestination(format(entry.address())));
            } else {
                readyDestinations.remove(entry.endpoint().id());
            }
        }
    }

    private static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    /** Returns the destination of an endpoint, or null if it accepts no new requests. */
    EndpointDestination find(String endpointId) {
        return forwardingAllowed ? readyDestinations.get(endpointId) : null;
    }

    @Override
    public void setForwardingAllowed(boolean allowed) {
        forwardingAllowed = allowed;
    }

    /** The proxies wait for each decision, and not for long. */
    @Override
    public boolean mayDelayDecisions() {
        return false;
    }

    @Override
    public void withdrawAttempts() {
        // The proxies send the attempts and report whether they were sent.
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        // The proxies own the connections and close them when they are idle.
    }
}
