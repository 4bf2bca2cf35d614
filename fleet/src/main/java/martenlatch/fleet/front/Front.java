package martenlatch.fleet.front;

import java.util.SplittableRandom;

/**
 * Deals out clients' requests among sidecars, as a front does that notices late who is down. No I/O; times
 * are milliseconds and come with the calls, which may come from several threads.
 */
public final class Front {

    /** What the front believes of a sidecar. */
    public enum State {
        /** It may be sent anything. */
        UP,
        /** Only connections that stand are used. */
        LEAVING,
        DOWN
    }

    private final double[] weights;
    private final State[] states;
    private final double[] changesAt;
    private final State[] next;
    private final SplittableRandom random;

    /** All are down at first; the busiest of them gets {@code skew} times as much as the quietest. */
    public Front(int sidecars, double skew, long seed) {
        weights = new double[sidecars];
        states = new State[sidecars];
        next = new State[sidecars];
        changesAt = new double[sidecars];
        random = new SplittableRandom(seed);
        for (int i = 0; i < sidecars; i++) {
            weights[i] = Math.pow(skew, sidecars == 1 ? 0 : i / (sidecars - 1.0));
            states[i] = State.DOWN;
            next[i] = State.DOWN;
            changesAt[i] = Double.POSITIVE_INFINITY;
        }
    }

    /** From this time on the front believes so. */
    public synchronized void setStateAt(int sidecar, State state, double atMs) {
        next[sidecar] = state;
        changesAt[sidecar] = atMs;
    }

    /** What it believes at this time. */
    public synchronized State state(int sidecar, double now) {
        if (now >= changesAt[sidecar]) {
            states[sidecar] = next[sidecar];
            changesAt[sidecar] = Double.POSITIVE_INFINITY;
        }
        return states[sidecar];
    }

    /** Whether a sidecar that is leaving has a connection that can be used. */
    public interface Standing {
        boolean at(int sidecar);
    }

    /** Where the next request goes; where all are down, to any. */
    public synchronized int pick(double now, Standing standing) {
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += weight(i, now, standing);
        }
        double drawn = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            drawn -= weight(i, now, standing);
            if (sum > 0 && drawn < 0) {
                return i;
            }
        }
        return random.nextInt(weights.length);
    }

    private double weight(int sidecar, double now, Standing standing) {
        return switch (state(sidecar, now)) {
            case UP -> weights[sidecar];
            case LEAVING -> standing.at(sidecar) ? weights[sidecar] : 0;
            default -> 0;
        };
    }
}
