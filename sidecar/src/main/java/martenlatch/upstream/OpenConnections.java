package martenlatch.upstream;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/** The open connections of one pool: bounds their number, and knows the idle ones of all endpoints. */
final class OpenConnections {

    private final int max;
    /** All idle connections, the longest idle first. */
    private final Set<EndpointConnection> idle = new LinkedHashSet<>();

    private int open;

    OpenConnections(int max) {
        this.max = max;
    }

    int max() {
        return max;
    }

    /** Whether another connection may be opened; if need be, the longest idle one is closed for it. */
    boolean makeRoom() {
        return open < max || closeLongestIdle();
    }

    /** Counts a connection until it is closed. */
    void add(Channel channel) {
        open++;
        channel.closeFuture().addListener(closed -> open--);
    }

    void addIdle(EndpointConnection connection) {
        idle.add(connection);
    }

    void removeIdle(EndpointConnection connection) {
        idle.remove(connection);
    }

    /** Closes the connections that have been idle since before this time. */
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
