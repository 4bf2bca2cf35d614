package martenlatch.discovery;

import java.util.OptionalLong;

/**
 * One poll of the endpoint list. A poll for changes to a known version is also called a watch: discovery may hold its
 * response back until there is a newer version.
 *
 * @param number unique among the polls of one watcher
 * @param knownVersion the version to which changes are requested, or empty to request the whole list
 * @param timing how long discovery may hold the response, and the timeouts of the response
 */
public record Poll(long number, OptionalLong knownVersion, PollTiming timing) {

    private static final String PATH = "/registry/instances";

    /** Returns the path and query of the HTTP request. */
    public String path() {
        return knownVersion.isPresent()
                ? PATH + "?index=" + knownVersion.getAsLong() + "&wait=" + timing.waitMs()
                : PATH;
    }

    /** Returns this poll as it is sent again on another connection. */
    Poll forResending() {
        return new Poll(number, knownVersion, timing.forResending());
    }

    /** Returns whether this is a watch, a poll for changes to a known version. */
    boolean isWatch() {
        return knownVersion.isPresent();
    }

    /** Returns the time after sending at which the poll times out without a response, in milliseconds. */
    double timeoutMs() {
        return isWatch() ? timing.waitMs() + timing.responseTimeoutMs() : timing.fullListTimeoutMs();
    }
}
