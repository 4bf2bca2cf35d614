package martenlatch.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.link.LinkModel;

/**
 * One direction of a link in simulated time: the model that relays have, and what waits while it is silent.
 */
final class SimLink {

    /** Within a data centre, one way. */
    static final double BASE_MS = 0.2;

    private static final int BYTES = 400;

    private record Held(Runnable arrival) {}

    private final VirtualTime time;
    private final LinkModel model;
    private final Deque<Held> held = new ArrayDeque<>();

    SimLink(VirtualTime time, long seed) {
        this.time = time;
        model = new LinkModel(seed);
    }

    boolean isSilent() {
        return model.conduct().silent();
    }

    void conduct(LinkConditions next) {
        model.conduct(next);
        while (!next.silent() && !held.isEmpty()) {
            pass(held.poll().arrival());
        }
    }

    /** A part of a stream: it arrives in its time, or twice; while the link is silent, when that is over. */
    void send(Runnable arrival) {
        if (model.conduct().silent()) {
            held.add(new Held(arrival));
            return;
        }
        pass(arrival);
        if (model.streamTwice()) {
            pass(arrival);
        }
    }

    private void pass(Runnable arrival) {
        double now = time.elapsed();
        time.after(model.stream(now, BYTES) - now + BASE_MS, arrival);
    }
}
