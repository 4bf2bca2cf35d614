package martenlatch.fleet.front;

import java.util.SplittableRandom;

/**
 * Distributes clients' requests among sidecars, like a front-end balancer that learns late which sidecars are down.
 * Thread-safe. It does no I/O; callers pass the time in milliseconds.
 */
public final class Front {

    /** The state of a sidecar as the front knows it. */
    public enum State {
        /** The sidecar gets requests on any connection. */
        UP,
        /** The sidecar gets requests on open connections only. */
        LEAVING,
        /** The sidecar gets no requests. */
        DOWN
    }

    private final double[] weights;
    private final State[] states;
    private final double[] changesAtMs;
    private final State[] nextStates;
    private final SplittableRandom random;

    /** Creates a front with all sidecars down. The busiest one gets {@code skew} times as much as the least busy. */
    public Front(int sidecars, double skew, long seed) {
        weights = new double[sidecars];
        states = new State[sidecars];
        nextStates = new State[sidecars];
        changesAtMs = new double[sidecars];
        random = new SplittableRandom(seed);
        for (int i = 0; i < sidecars; i++) {
            weights[i] = Math.pow(skew, sidecars == 1 ? 0 : i / (sidecars - 1.0));
            states[i] = State.DOWN;
            nextStates[i] = State.DOWN;
            changesAtMs[i] = Double.POSITIVE_INFINITY;
        }
    }

    /** Sets the state that the front assumes for a sidecar from this time on. */
    public synchronized void setStateAt(int sidecar, State state, double atMs) {
        nextStates[sidecar] = state;
        changesAtMs[sidecar] = atMs;
    }

    /** Returns the state that the front assumes for a sidecar at this time. */
    public synchronized State state(int sidecar, double nowMs) {
        if (nowMs >= changesAtMs[sidecar]) {
            states[sidecar] = nextStates[sidecar];
            changesAtMs[sidecar] = Double.POSITIVE_INFINITY;
        }
        return states[sidecar];
    }

    /** Tells whether a sidecar that is leaving has an open connection that can be used. */
    public interface OpenConnections {
        boolean existTo(int sidecar);
    }

    /** Returns the sidecar for the next request, drawn by weight; any sidecar if none can be used. */
    public synchronized int pick(double nowMs, OpenConnections openConnections) {
        double totalWeight = 0;
        for (int i = 0; i < weights.length; i++) {
            totalWeight += weight(i, nowMs, openConnections);
        }
        double drawn = random.nextDouble() * totalWeight;
        for (int i = 0; i < weights.length; i++) {
            drawn -= weight(i, nowMs, openConnections);
            if (totalWeight > 0 && drawn < 0) {
                return i;
            }
        }
        return random.nextInt(weights.length);
    }

    private double weight(int sidecar, double nowMs, OpenConnections openConnections) {
        return switch (state(sidecar, nowMs)) {
            case UP -> weights[sidecar];
            case LEAVING -> openConnections.existTo(sidecar) ? weights[sidecar] : 0;
            default -> 0;
        };
    }
}
