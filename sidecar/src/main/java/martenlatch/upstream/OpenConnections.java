package martenlatch.upstream;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/** Counts and limits the open connections of one pool, and tracks the idle ones of all endpoints. */
final class OpenConnections {

    private final int maxOpen;
    /** All idle connections, ordered by how long they have been idle, longest first. */
    private final Set<EndpointConnection> idle = new LinkedHashSet<>();

    private int openCount;

    OpenConnections(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    int maxOpen() {
        return maxOpen;
    }

    /**
     * Returns whether another connection may be opened. If the limit is reached, closes the longest idle connection to
     * make that possible.
     */
    boolean ensureCapacity() {
        return openCount < maxOpen || closeLongestIdle();
    }

    /** Counts a connection as open until its channel is closed. */
    void add(Channel channel) {
        openCount++;
        channel.closeFuture().addListener(closed -> openCount--);
    }

    void addIdle(EndpointConnection connection) {
        idle.add(connection);
    }

    void removeIdle(EndpointConnection connection) {
        idle.remove(connection);
    }

    /** Closes the connections that became idle before this time. */
    void closeIdleSinceBefore(double timeMs) {
        while (!idle.isEmpty() && idle.iterator().next().idleSinceMs() < timeMs) {
            closeLongestIdle();
        }
    }

    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }
}
