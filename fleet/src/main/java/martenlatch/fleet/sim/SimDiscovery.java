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

/** Discovery in simulated time: the whole list, and watches that wait for what is newer. */
final class SimDiscovery {

    /** Hears the answer to one call. */
    interface Caller {
        void answered(EndpointList list);

        void refused();
    }

    private record Entry(Endpoint server, long version) {}

    private record Watch(Connection connection, long index, Caller caller) {}

    /** A viewer's connection; what is polled on it is not answered once it has ended. */
    static final class Connection {
        private final String viewer;
        private boolean ended;

        Connection(String viewer) {
            this.viewer = viewer;
        }
    }

    private final History history;
    private final VirtualTime time;
    private final CallQueue queue;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private Mode manner = Mode.GOOD;
    private long version;

    SimDiscovery(History history, VirtualTime time, CallQueue queue) {
        this.history = history;
        this.time = time;
        this.queue = queue;
    }

    void put(Endpoint server) {
        entries.put(server.id(), new Entry(server, ++version));
        history.tell(What.CHANGED, "discovery", server.id(), "", word(server.status()));
        tell();
    }

    void manner(Mode next) {
        manner = next;
        tell();
    }

    /** The whole list, for a start. */
    EndpointList list() {
        return list(-1);
    }

    private void tell() {
        for (Watch watch : List.copyOf(watches)) {
            if (version > watch.index() || manner != Mode.GOOD) {
                watches.remove(watch);
                answer(watch);
            }
        }
    }

    /** A call comes, and is heard in its turn; the turn of a caller that is gone passes without an answer. */
    void ask(Connection connection, long index, long waitMs, Caller caller) {
        CallQueue.Turn turn = queue.come(time.elapsed());
        if (turn.atMs() <= time.elapsed()) {
            hear(connection, index, waitMs, caller, turn.refused());
        } else {
            time.after(turn.atMs() - time.elapsed(), () -> hear(connection, index, waitMs, caller, turn.refused()));
        }
    }

    /** Where there is nothing newer than {@code index} the call waits, and is told so at its wait's end. */
    private void hear(Connection connection, long index, long waitMs, Caller caller, boolean refused) {
        if (connection.ended) {
            return;
        }
        history.tell(What.LIST_CALL, connection.viewer, "discovery", "", refused ? "refused" : "answered");
        if (refused) {
            caller.refused();
            return;
        }
        if (index >= version || (index >= 0 && manner == Mode.SILENT)) {
            history.tell(What.LONG_POLL, connection.viewer, "discovery", "", String.valueOf(waitMs));
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

    /** A connection has ended. */
    void end(Connection connection) {
        connection.ended = true;
        watches.removeIf(watch -> watch.connection() == connection);
    }

    private void answer(Watch watch) {
        switch (manner) {
            case SILENT -> {}
            case DOWN, WRONG -> watch.caller().refused();
            default -> {
                EndpointList list = list(watch.index());
                for (EndpointList.Entry entry : list.entries()) {
                    history.tell(
                            What.TOLD,
                            watch.connection().viewer,
                            entry.endpoint().id(),
                            "",
                            word(entry.endpoint().status()));
                }
                watch.caller().answered(list);
            }
        }
    }

    private static String word(EndpointStatus state) {
        return switch (state) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            default -> "terminated";
        };
    }

    private EndpointList list(long since) {
        boolean full = since < 0;
        List<EndpointList.Entry> told = entries.values().stream()
                .filter(one -> one.version() > since && !(full && one.server().status() == EndpointStatus.GONE))
                .map(one -> new EndpointList.Entry(one.server(), null))
                .toList();
        return new EndpointList(version, full, told);
    }
}
