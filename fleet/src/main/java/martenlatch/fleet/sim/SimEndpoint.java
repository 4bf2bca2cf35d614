package martenlatch.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.world.EndpointFault;
import martenlatch.world.WorldSettings;

/**
 * An endpoint in simulated time, as {@link martenlatch.world.Endpoint} is on sockets: slots, a queue, cold
 * at first.
 */
final class SimEndpoint {

    private static final int SLOWNESS = 10;

    /** How a request ends there. */
    enum Reply {
        OK,
        ERROR,
        NOT_RUN,
        RESET
    }

    /** Hears of the end, if there is one. */
    interface Caller {
        void ended(Reply reply);
    }

    private final String id;
    private final VirtualTime time;
    private final WorldSettings settings;
    private final History history;
    private final SplittableRandom random;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Deque<Caller> open = new ArrayDeque<>();
    private EndpointFault trouble = EndpointFault.NONE;
    private boolean alive = true;
    private boolean draining;
    private double warmAt;
    private double startedMs;
    private int working;
    private int life;

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

    void trouble(EndpointFault next) {
        trouble = next;
    }

    void drain() {
        draining = true;
    }

    void die() {
        alive = false;
        life++;
        working = 0;
        queue.clear();
        Deque<Caller> broken = new ArrayDeque<>(open);
        open.clear();
        broken.forEach(caller -> caller.ended(Reply.RESET));
    }

    void restart() {
        if (alive) {
            die();
        }
        alive = true;
        draining = false;
        trouble = EndpointFault.NONE;
        startedMs = time.now();
        warmAt = time.elapsed() + settings.coldMs();
        history.tell(What.ENDPOINT_UP, id, "", "", String.valueOf(settings.coldMs()));
    }

    /** A whole request has come; where the process is gone its connection is reset. */
    void receive(String request, Caller caller) {
        if (!alive) {
            caller.ended(Reply.RESET);
            return;
        }
        if (trouble == EndpointFault.DEAF) {
            return;
        }
        if (draining || working >= settings.slots() && queue.size() >= settings.queue()) {
            history.tell(What.TURNED_AWAY, id, "", request, "");
            caller.ended(Reply.NOT_RUN);
            return;
        }
        history.tell(What.RAN, id, "", request, time.elapsed() < warmAt ? "cold" : "");
        open.add(caller);
        if (working < settings.slots()) {
            work(request, caller);
        } else {
            queue.add(() -> work(request, caller));
        }
    }

    private void work(String request, Caller caller) {
        working++;
        double ms = settings.service().draw(random)
                * (trouble == EndpointFault.SLOW ? SLOWNESS : 1)
                * (time.elapsed() < warmAt ? settings.coldFactor() : 1);
        int begun = life;
        time.after(ms, () -> {
            if (begun == life) {
                working--;
                open.remove(caller);
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
            case RESETS, HALF, GARBLES -> caller.ended(Reply.RESET);
            case ERRORS -> caller.ended(Reply.ERROR);
            default -> {
                history.tell(What.ANSWERED, id, "", request, "");
                caller.ended(Reply.OK);
            }
        }
    }
}
