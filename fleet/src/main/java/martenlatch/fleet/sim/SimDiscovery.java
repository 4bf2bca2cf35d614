package martenlatch.fleet.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;
import martenlatch.world.CallQueue;
import martenlatch.world.Discovery.Mode;

/** Models discovery in simulated time: serves the full endpoint list and long polls that wait for a newer version. */
final class SimDiscovery {

    /** The number of pieces in which a response is written that takes time. */
    private static final int RESPONSE_PIECES = 10;

    /** Receives the response to one call. */
    interface Caller {
        /** Called when a piece of the response is written, before the response is complete. */
        void onPiece();

        void onList(EndpointList list);

        void onRejected();
    }

    private record Entry(Endpoint server, long version) {}

    private record Watch(Connection connection, long index, Caller caller) {}

    /** A sidecar's connection to discovery. Polls on it are not answered once it has ended. */
    static final class Connection {
        private final String sidecar;
        private boolean ended;
        private boolean stalled;

        Connection(String sidecar) {
            this.sidecar = sidecar;
        }

        boolean isEnded() {
            return ended;
        }
    }

    private final History history;
    private final VirtualTime time;
    private final CallQueue queue;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final double responseMs;
    private Mode manner = Mode.GOOD;
    private long version;

    /** Creates a discovery without entries; {@code responseMs} is how long it writes each response with a list. */
    SimDiscovery(History history, VirtualTime time, CallQueue queue, double responseMs) {
        this.responseMs = responseMs;
        this.history = history;
        this.time = time;
        this.queue = queue;
    }

    void put(Endpoint server) {
        entries.put(server.id(), new Entry(server, ++version));
        history.record(What.CHANGED, "discovery", server.id(), "", stateName(server.status()));
        notifyWatches();
    }

    void setManner(Mode next) {
        manner = next;
        notifyWatches();
    }

    /** Returns the full list, for a sidecar that starts. */
    EndpointList list() {
        return list(-1);
    }

    private void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            if (version > watch.index() || manner != Mode.GOOD) {
                watches.remove(watch);
                answer(watch);
            }
        }
    }

    /**
     * Enqueues a call, which is handled in its turn. The turn of a caller whose connection has ended still takes
     * its time, but produces no response.
     */
    void poll(Connection connection, long index, long waitMs, Caller caller) {
        if (connection.stalled) {
            return;
        }
        CallQueue.Turn turn = queue.come(time.elapsed());
        if (turn.atMs() <= time.elapsed()) {
            handleCall(connection, index, waitMs, caller, turn.refused());
        } else {
            time.after(
                    turn.atMs() - time.elapsed(), () -> handleCall(connection, index, waitMs, caller, turn.refused()));
        }
    }

    /**
     * Handles a call whose turn has come. If no entry is newer than {@code index}, the call waits for up to
     * {@code waitMs} and is then answered with an empty list.
     */
    private void handleCall(Connection connection, long index, long waitMs, Caller caller, boolean refused) {
        if (connection.ended) {
            return;
        }
        history.record(What.LIST_CALL, connection.sidecar, "discovery", "", refused ? "refused" : "answered");
        if (refused) {
            caller.onRejected();
            return;
        }
        if (index >= version || (index >= 0 && manner == Mode.SILENT)) {
            history.record(What.LONG_POLL, connection.sidecar, "discovery", "", String.valueOf(waitMs));
        }
        Watch watch = new Watch(connection, index, caller);
        if (index < version || manner != Mode.GOOD) {
            answer(watch);
        } else {
            watches.add(watch);
            time.after(waitMs, () -> {
                if (watches.remove(watch)) {
                    answer(watch);
                }
            });
        }
    }

    /** Keeps calls and answers on a connection from arriving, until {@link #reset}. */
    void stall(Connection connection) {
        connection.stalled = true;
    }

    /** Ends a stalled connection; what was written to it has not arrived. */
    void reset(Connection connection) {
        history.record(What.LONG_POLL_ENDED, connection.sidecar, "discovery", "", "reset");
        end(connection);
    }

    /** Marks a connection as ended and drops its open polls. */
    void end(Connection connection) {
        connection.ended = true;
        watches.removeIf(watch -> watch.connection() == connection);
    }

    private void answer(Watch watch) {
        switch (manner) {
            case SILENT -> {}
            case DOWN, WRONG -> reject(watch);
            default -> write(watch, list(watch.index()), 1);
        }
    }

    private void reject(Watch watch) {
        if (!watch.connection().stalled) {
            history.record(What.LONG_POLL_ENDED, watch.connection().sidecar, "discovery", "", "rejected");
            watch.caller().onRejected();
        }
    }

    /** Writes a piece of a response, and the next ones until the response is complete or its connection has ended. */
    private void write(Watch watch, EndpointList list, int piece) {
        if (watch.connection().ended || watch.connection().stalled) {
            return;
        }
        if (responseMs > 0 && piece < RESPONSE_PIECES) {
            watch.caller().onPiece();
            time.after(responseMs / (RESPONSE_PIECES - 1), () -> write(watch, list, piece + 1));
            return;
        }
        for (EndpointList.Entry entry : list.entries()) {
            history.record(
                    What.TOLD,
                    watch.connection().sidecar,
                    entry.endpoint().id(),
                    "",
                    stateName(entry.endpoint().status()));
        }
        watch.caller().onList(list);
    }

    private static String stateName(EndpointStatus state) {
        return switch (state) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            default -> "terminated";
        };
    }

    private EndpointList list(long since) {
        boolean full = since < 0;
        List<EndpointList.Entry> entriesSince = entries.values().stream()
                .filter(one -> one.version() > since && !(full && one.server().status() == EndpointStatus.GONE))
                .map(one -> new EndpointList.Entry(one.server(), null))
                .toList();
        return new EndpointList(version, full, entriesSince);
    }
}
