package martenlatch.fleet.scenario;

import martenlatch.world.CallQueue;

/**
 * How discovery works through sidecars' calls for lists.
 *
 * @param callMs how long each takes, in turn; 0 for no time
 * @param mostWaitMs a call that waits longer for its turn is turned away
 * @param askWithinMs what the settings allow a sidecar between two calls
 */
public record ListService(double callMs, double mostWaitMs, double askWithinMs) {

    public ListService {
        try {
            new CallQueue(callMs, mostWaitMs);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("discovery." + e.getMessage(), e);
        }
        if (!(askWithinMs >= 100 && askWithinMs <= 600_000)) {
            throw new IllegalArgumentException("discovery.ask-within-ms must be 100 to 600000 but is " + askWithinMs);
        }
    }

    /** One that nobody waits in yet. */
    public CallQueue queue() {
        return new CallQueue(callMs, mostWaitMs);
    }
}
