package martenlatch.fleet.scenario;

import java.util.Locale;
import martenlatch.world.CallQueue;

/**
 * How discovery serves sidecars' calls for endpoint lists. It handles one call at a time.
 *
 * @param callMs how long each call takes; 0 for no time
 * @param rejectionMs how long each rejection takes; 0 for no time
 * @param mostWaitMs a call that waits longer than this in the queue is rejected
 * @param responseMs how long discovery writes each response with a list, in pieces; 0 for at once
 * @param askWithinMs the longest time that the settings allow a sidecar between two calls
 * @param known which list is in a sidecar's configuration when its process starts
 */
public record ListService(
        double callMs, double rejectionMs, double mostWaitMs, double responseMs, double askWithinMs, KnownList known) {

    private static final double MAX_RESPONSE_MS = 60_000;

    /** The endpoint list in the configuration of a process when it starts. */
    public enum KnownList {
        /** Discovery's list at the start of the process. */
        CURRENT,
        /** Discovery's list at the start of the run, which may be outdated. */
        FIRST;

        static KnownList parse(String text) {
            for (KnownList list : values()) {
                if (list.name().toLowerCase(Locale.ROOT).equals(text)) {
                    return list;
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
        if (!(responseMs >= 0 && responseMs <= MAX_RESPONSE_MS)) {
            throw new IllegalArgumentException("discovery.response-ms must be 0 to 60000 but is " + responseMs);
        }
        if (!(askWithinMs >= 100 && askWithinMs <= 600_000)) {
            throw new IllegalArgumentException("discovery.ask-within-ms must be 100 to 600000 but is " + askWithinMs);
        }
    }

    /** Creates an empty queue for calls. */
    public CallQueue queue() {
        return new CallQueue(callMs, rejectionMs, mostWaitMs);
    }
}
