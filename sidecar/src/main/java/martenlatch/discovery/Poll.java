package martenlatch.discovery;

import java.util.OptionalLong;

/**
 * One poll of the endpoint list.
 *
 * @param number differs from that of every other poll of the same watcher
 * @param knownVersion wanted is what is newer than this version; empty for the whole list
 * @param timing how long discovery may wait for something newer, and for how long a response is waited for
 */
public record Poll(long number, OptionalLong knownVersion, PollTiming timing) {

    private static final String PATH = "/registry/instances";

    /** Path and query of the request. */
    public String path() {
        return knownVersion.isPresent()
                ? PATH + "?index=" + knownVersion.getAsLong() + "&wait=" + timing.waitMs()
                : PATH;
    }

    /** Whether discovery may hold the response back until there is something newer. */
    boolean isWatch() {
        return knownVersion.isPresent();
    }

    /** The time after which the poll has failed without a response, in milliseconds from its start. */
    double timeoutMs() {
        return isWatch() ? timing.waitMs() + timing.responseTimeoutMs() : timing.fullListTimeoutMs();
    }
}
