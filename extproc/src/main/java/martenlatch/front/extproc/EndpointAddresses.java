package martenlatch.front.extproc;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;

/** Where proxies find the endpoints that may get something new. */
public final class EndpointAddresses implements EndpointConnections {

    private final Map<String, Replies.Destination> ready = new HashMap<>();

    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.endpoint().id()));
            ready.keySet().retainAll(named);
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().status() == EndpointStatus.READY) {
                ready.put(entry.endpoint().id(), new Replies.Destination(text(entry.address())));
            } else {
                ready.remove(entry.endpoint().id());
            }
        }
    }

    private static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    /** How an endpoint is named, or null if nothing new may go there. */
    Replies.Destination of(String server) {
        return ready.get(server);
    }

    @Override
    public void withdrawAttempts() {
        // What proxies were told to send is theirs: they say whether they have.
        return;
    }

    @Override
    public void closeIdleConnections(String server) {
        // The proxies' connections are their own; they close them when they are idle.
        return;
    }
}
