package martenlatch.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.link.LinkModel;

/**
 * One direction of a link in simulated time. Uses the same model as the socket relays, and holds back messages
 * while the link is silent.
 */
final class SimLink {

    /** One-way latency within a data centre. */
    static final double BASE_LATENCY_MS = 0.2;

    private static final int MESSAGE_BYTES = 400;

    private record Held(Runnable arrival) {}

    private final VirtualTime time;
    private final LinkModel model;
    private final Deque<Held> held = new ArrayDeque<>();

    SimLink(VirtualTime time, long seed) {
        this.time = time;
        model = new LinkModel(seed);
    }

    boolean isSilent() {
        return model.conditions().silent();
    }

    void setConditions(LinkConditions next) {
        model.setConditions(next);
        while (!next.silent() && !held.isEmpty()) {
            schedule(held.poll().arrival());
        }
    }

    /**
     * Sends one message on the stream. It arrives after the modelled delay, possibly twice; messages sent while
     * the link is silent arrive once it no longer is.
     */
    void send(Runnable arrival) {
        if (model.conditions().silent()) {
            held.add(new Held(arrival));
            return;
        }
        schedule(arrival);
        if (model.duplicatesWrite()) {
            schedule(arrival);
        }
    }

    private void schedule(Runnable arrival) {
        double now = time.elapsed();
        time.after(model.streamArrivalMs(now, MESSAGE_BYTES) - now + BASE_LATENCY_MS, arrival);
    }
}
