package martenlatch.fleet.scenario;

import java.util.Locale;
import martenlatch.world.CallQueue;

/**
 * How discovery works through sidecars' calls for lists.
 *
 * @param callMs how long each takes, in turn; 0 for no time
 * @param rejectionMs how long a rejection takes, in turn; 0 for one that is free
 * @param mostWaitMs a call that waits longer for its turn is turned away
 * @param askWithinMs what the settings allow a sidecar between two calls
 * @param known which list a sidecar's configuration has when its process starts
 */
public record ListService(double callMs, double rejectionMs, double mostWaitMs, double askWithinMs, KnownList known) {

    /** The endpoint list in the configuration of a process that starts. */
    public enum KnownList {
        /** Discovery's list at that moment. */
        CURRENT,
        /** Discovery's list when the run began, as the platform's page allows: it may be old. */
        FIRST;

        static KnownList parse(String text) {
            for (KnownList each : values()) {
                if (each.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return each;
                }
            }
            throw new IllegalArgumentException("discovery.known must be current or first but is \"" + text + "\"");
        }
    }

    public ListService {
        try {
            new CallQueue(callMs, rejectionMs, mostWaitMs);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("discovery." + e.getMessage(), e);
        }
        if (!(askWithinMs >= 100 && askWithinMs <= 600_000)) {
            throw new IllegalArgumentException("discovery.ask-within-ms must be 100 to 600000 but is " + askWithinMs);
        }
    }

    /** One that nobody waits in yet. */
    public CallQueue queue() {
        return new CallQueue(callMs, rejectionMs, mostWaitMs);
    }
}
