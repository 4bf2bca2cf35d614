package martenlatch.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One endpoint process as the pool knows it: where it listens, and the connections to it. */
final class PooledEndpoint {

    /** Null once another endpoint has taken over the address. */
    InetSocketAddress address;

    double startedMs;
    /** Idle connections, the most recently used last. */
    final Deque<EndpointConnection> idle = new ArrayDeque<>();
    /** Connections that are being established, each for an attempt that waits for it. */
    final Set<EndpointConnection> connecting = new LinkedHashSet<>();
    /** Incremented when the connections so far are of no more use; older ones are not kept. */
    int generation;

    void closeIdleConnections() {
        for (EndpointConnection connection : List.copyOf(idle)) {
            connection.close();
        }
    }
}
