package martenlatch.frontend.extproc;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;

/** The addresses of the endpoints that take new requests, as proxies are told. */
public final class EndpointAddresses implements EndpointConnections {

    private final Map<String, EndpointDestination> ready = new HashMap<>();

    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.endpoint().id()));
            ready.keySet().retainAll(named);
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().status() == EndpointStatus.READY) {
                ready.put(entry.endpoint().id(), new EndpointDestination(format(entry.address())));
            } else {
                ready.remove(entry.endpoint().id());
            }
        }
    }

    private static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    /** The destination of an endpoint, or null if it takes nothing new. */
    EndpointDestination find(String endpointId) {
        return ready.get(endpointId);
    }

    @Override
    public void withdrawAttempts() {
        // Attempts are the proxies': they report whether they were sent.
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        // Connections are the proxies', which close them when they are idle.
    }
}
