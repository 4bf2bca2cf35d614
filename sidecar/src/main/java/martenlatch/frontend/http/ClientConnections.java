package martenlatch.frontend.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenlatch.request.RateLimitedLogger;

/** The open client connections of one frontend: bounds their number, and picks those that make room for new ones. */
final class ClientConnections {

    /** Connections above the bound that are still accepted, to reject their requests in an orderly way. */
    static final int OVERFLOW_CONNECTIONS = 16;

    private final int max;
    private final RateLimitedLogger logger;
    private final Set<ClientConnection> all = new LinkedHashSet<>();
    /** Those that have sent no request yet or have had their last response, the oldest first. */
    private final Set<ClientConnection> expendable = new LinkedHashSet<>();
    /** Those with no request in flight, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private ClientListener listener;

    ClientConnections(int max, RateLimitedLogger logger) {
        this.max = max;
        this.logger = logger;
    }

    /** The listener that stops accepting while there is no room. */
    void setListener(ClientListener accepting) {
        listener = accepting;
    }

    boolean isListening() {
        return listener != null && listener.isActive();
    }

    /** Adds a new connection; false if it is above the bound and its requests are to be rejected. */
    boolean add(ClientConnection connection) {
        all.add(connection);
        boolean hasRoom = makeRoom();
        expendable.add(connection);
        updateAccepting();
        return hasRoom;
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

    void markBusy(ClientConnection connection) {
        expendable.remove(connection);
        idle.remove(connection);
    }

    void markIdle(ClientConnection connection) {
        idle.add(connection);
    }

    void markExpendable(ClientConnection connection) {
        expendable.add(connection);
    }

    /** Closes connections until the bound holds; first those whose clients have never sent a request. */
    private boolean makeRoom() {
        while (all.size() > max) {
            Set<ClientConnection> candidates = expendable.isEmpty() ? idle : expendable;
            if (candidates.isEmpty()) {
                return false;
            }
            ClientConnection candidate = candidates.iterator().next();
            candidates.remove(candidate);
            candidate.readNow();
            if (!candidate.hasPendingResponses()) {
                all.remove(candidate);
                candidate.close();
            }
        }
        return true;
    }

    private void updateAccepting() {
        boolean hasRoom = all.size() < max + OVERFLOW_CONNECTIONS;
        if (!hasRoom) {
            logger.log("no more connections are taken in", all.size() + " are open");
        }
        listener.config().setAutoRead(hasRoom);
    }
}
