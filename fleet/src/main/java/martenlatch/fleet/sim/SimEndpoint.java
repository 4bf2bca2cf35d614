package martenlatch.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.world.EndpointFault;
import martenlatch.world.WorldSettings;

/**
 * Models an endpoint in simulated time, as {@link martenlatch.world.Endpoint} does on sockets: a number of slots,
 * a bounded queue, and slower service while cold after a start.
 */
final class SimEndpoint {

    private static final int SLOW_FACTOR = 10;

    /** How the endpoint ends a request. */
    enum Reply {
        OK,
        ERROR,
        NOT_RUN,
        RESET
    }

    /** Called when the endpoint ends a request; never called if the endpoint does not respond. */
    interface Caller {
        void onEnded(Reply reply);
    }

    private final String id;
    private final VirtualTime time;
    private final WorldSettings settings;
    private final History history;
    private final SplittableRandom random;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Deque<Caller> openRequests = new ArrayDeque<>();
    private EndpointFault trouble = EndpointFault.NONE;
    private boolean alive = true;
    private boolean draining;
    private double warmAtMs;
    private double startedMs;
    private int busySlots;
    private int startCount;

    SimEndpoint(String id, VirtualTime time, WorldSettings settings, History history, long seed) {
        this.id = id;
        this.time = time;
        this.settings = settings;
        this.history = history;
        random = new SplittableRandom(seed);
    }

    String id() {
        return id;
    }

    boolean isAlive() {
        return alive;
    }

    double startedMs() {
        return startedMs;
    }

    void setTrouble(EndpointFault next) {
        trouble = next;
    }

    void drain() {
        draining = true;
    }

    void die() {
        alive = false;
        startCount++;
        busySlots = 0;
        queue.clear();
        Deque<Caller> interrupted = new ArrayDeque<>(openRequests);
        openRequests.clear();
        interrupted.forEach(caller -> caller.onEnded(Reply.RESET));
    }

    void restart() {
        if (alive) {
            die();
        }
        alive = true;
        draining = false;
        trouble = EndpointFault.NONE;
        startedMs = time.now();
        warmAtMs = time.elapsed() + settings.coldMs();
        history.record(What.ENDPOINT_UP, id, "", "", String.valueOf(settings.coldMs()));
    }

    /** Accepts a complete request; resets the connection if the process has died. */
    void receive(String request, Caller caller) {
        if (!alive) {
            caller.onEnded(Reply.RESET);
            return;
        }
        if (trouble == EndpointFault.DEAF) {
            return;
        }
        if (draining || busySlots >= settings.slots() && queue.size() >= settings.queue()) {
            history.record(What.TURNED_AWAY, id, "", request, "");
            caller.onEnded(Reply.NOT_RUN);
            return;
        }
        history.record(What.RAN, id, "", request, time.elapsed() < warmAtMs ? "cold" : "");
        openRequests.add(caller);
        if (busySlots < settings.slots()) {
            execute(request, caller);
        } else {
            queue.add(() -> execute(request, caller));
        }
    }

    private void execute(String request, Caller caller) {
        busySlots++;
        double ms = settings.service().draw(random)
                * (trouble == EndpointFault.SLOW ? SLOW_FACTOR : 1)
                * (time.elapsed() < warmAtMs ? settings.coldFactor() : 1);
        int expectedStart = startCount;
        time.after(ms, () -> {
            if (expectedStart == startCount) {
                busySlots--;
                openRequests.remove(caller);
                reply(request, caller);
                Runnable next = queue.poll();
                if (next != null) {
                    next.run();
                }
            }
        });
    }

    private void reply(String request, Caller caller) {
        switch (trouble) {
            case HANGS -> {}
            case RESETS, HALF, GARBLES -> caller.onEnded(Reply.RESET);
            case ERRORS -> caller.onEnded(Reply.ERROR);
            default -> {
                history.record(What.ANSWERED, id, "", request, "");
                caller.onEnded(Reply.OK);
            }
        }
    }
}
