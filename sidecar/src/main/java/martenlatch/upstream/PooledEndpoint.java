package martenlatch.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The pool's state for one endpoint process: its address and the connections to it. */
final class PooledEndpoint {

    /** The address of the endpoint, or null once another endpoint has taken it over. */
    InetSocketAddress address;

    /** The start time of the endpoint process, as stated by the endpoint list. */
    double startedMs;
    /** The idle connections, ordered by last use, most recent last. */
    final Deque<EndpointConnection> idle = new ArrayDeque<>();
    /** The connections that are being established, each of which has an attempt waiting for it. */
    final Set<EndpointConnection> connecting = new LinkedHashSet<>();
    /** Incremented when the existing connections become invalid; connections of an older generation are not kept. */
    int generation;

    /** Whether the endpoint is listed as ready. */
    boolean ready;
    /** Whether operators have disabled the endpoint. */
    boolean disabled;
    /** Whether nothing new may be written to any endpoint. */
    boolean suspended;

    /** Returns whether the first byte of an attempt may be written to a connection of this generation now. */
    boolean acceptsAttempts(int connectionGeneration) {
        return ready && !disabled && !suspended && connectionGeneration == generation;
    }

    void closeIdleConnections() {
        for (EndpointConnection connection : List.copyOf(idle)) {
            connection.close();
        }
    }
}
