package martenlatch.frontend.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenlatch.request.RateLimitedLogger;

/** The open client connections of a frontend: limits their number and evicts connections in favour of new ones. */
final class ClientConnections {

    /** Connections accepted above the limit, so that their requests are rejected with a response. */
    static final int OVERFLOW_CONNECTIONS = 16;

    private final int maxConnections;
    private final RateLimitedLogger logger;
    private final Set<ClientConnection> all = new LinkedHashSet<>();
    /** Connections that have sent no request yet or have received their last response, oldest first; evicted first. */
    private final Set<ClientConnection> expendable = new LinkedHashSet<>();
    /** Connections that have sent requests but have none in flight, the longest idle first; evicted next. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private ClientListener listener;

    ClientConnections(int maxConnections, RateLimitedLogger logger) {
        this.maxConnections = maxConnections;
        this.logger = logger;
    }

    /** Sets the listener, which stops accepting while the limit and its overflow are used up. */
    void setListener(ClientListener clientListener) {
        listener = clientListener;
    }

    boolean isListening() {
        return listener != null && listener.isActive();
    }

    /** Adds a new connection; returns false if it exceeds the limit and its requests must be rejected. */
    boolean add(ClientConnection connection) {
        all.add(connection);
        boolean withinLimit = evictToLimit();
        expendable.add(connection);
        updateAccepting();
        return withinLimit;
    }

    void remove(ClientConnection connection) {
        all.remove(connection);
        expendable.remove(connection);
        idle.remove(connection);
        updateAccepting();
    }

    boolean contains(ClientConnection connection) {
        return all.contains(connection);
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    List<ClientConnection> all() {
        return List.copyOf(all);
    }

    /** Protects a connection with a request in flight from eviction. */
    void markBusy(ClientConnection connection) {
        expendable.remove(connection);
        idle.remove(connection);
    }

    /** Makes a connection that has sent requests before, but has none in flight, a candidate for eviction. */
    void markIdle(ClientConnection connection) {
        idle.add(connection);
    }

    /** Makes a connection a candidate that is evicted before idle ones. */
    void markExpendable(ClientConnection connection) {
        expendable.add(connection);
    }

    /**
     * Closes expendable and then idle connections until the limit is met; returns false if it cannot be met. Available
     * input is read before a connection is closed, so that a request that has arrived is not lost.
     */
    private boolean evictToLimit() {
        while (all.size() > maxConnections) {
            Set<ClientConnection> candidates = expendable.isEmpty() ? idle : expendable;
            if (candidates.isEmpty()) {
                return false;
            }
            ClientConnection candidate = candidates.iterator().next();
            candidates.remove(candidate);
            candidate.readAvailable();
            if (!candidate.owesOutput()) {
                all.remove(candidate);
                candidate.close();
            }
        }
        return true;
    }

    /**
     * Closes the connection whose incomplete request head holds the most memory, if it holds more than {@code bytes}.
     * The request was not accepted, as its last byte has not arrived. Returns whether a connection was closed.
     */
    boolean closeLargestIncompleteHead(int bytes) {
        ClientConnection largest = null;
        int largestBytes = bytes;
        for (ClientConnection connection : all) {
            if (connection.incompleteHeadBytes() > largestBytes) {
                largest = connection;
                largestBytes = connection.incompleteHeadBytes();
            }
        }
        if (largest != null) {
            largest.closeInHead();
        }
        return largest != null;
    }

    /** Accepts connections only while the limit and its overflow are not used up. */
    private void updateAccepting() {
        boolean withinLimit = all.size() < maxConnections + OVERFLOW_CONNECTIONS;
        if (!withinLimit) {
            logger.log("no more connections are accepted", all.size() + " are open");
        }
        listener.config().setAutoRead(withinLimit);
    }
}
