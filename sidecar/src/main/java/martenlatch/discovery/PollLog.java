package martenlatch.discovery;

import java.util.Locale;
import java.util.OptionalLong;
import martenlatch.numeric.TokenBucket;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Logs every poll of discovery and its result with Unix times in milliseconds, so that the age of the endpoint list at
 * any time can be determined from the log. A token bucket limits the rate of lines; suppressed lines are counted.
 */
final class PollLog {

    private static final double LINES_PER_MS = 5 / 1000.0;
    private static final double BURST_LINES = 50;
    /** The maximum number of endpoints of each status whose ids are logged for one list. */
    private static final int MAX_NAMED_ENDPOINTS = 12;

    /** The duration from which on the log states how long a response took. */
    private static final double SLOW_RESPONSE_MS = 500;

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final TokenBucket lines = new TokenBucket(LINES_PER_MS, BURST_LINES);
    private int suppressed;

    PollLog(Scheduler scheduler, RateLimitedLogger logger) {
        this.scheduler = scheduler;
        this.logger = logger;
    }

    void onSent(Poll poll) {
        OptionalLong version = poll.knownVersion();
        String requested = version.isPresent()
                ? "watch from version " + version.getAsLong() + ", wait "
                        + poll.timing().waitMs() + " ms"
                : "whole list";
        log("discovery poll " + poll.number() + " sent: " + requested);
    }

    void onMoved() {
        log("discovery has moved");
    }

    void onResponseStarted(long poll) {
        log("discovery poll " + poll + ": response started");
    }

    /** Logs a poll that has timed out and continues in the background. */
    void onMovedToBackground(long poll, String detail) {
        log("discovery poll " + poll + " continues beside the next one: " + detail);
    }

    /** Logs that a confirmation is repeated because it has no response yet. */
    void onConfirmationMissing(String detail) {
        log("discovery: another confirmation is sent: " + detail);
    }

    /** Logs a watch that is replaced because another poll has brought a version that it has not. */
    void onSilentWatch(long poll, long version) {
        log("discovery poll " + poll + " is silent although version " + version + " is known; it is sent anew");
    }

    /** Logs a list, and how long its response took if that was long. */
    void onList(OutstandingPoll poll, EndpointList list) {
        double responseMs = poll.responseMs();
        log("discovery poll " + poll.number() + ": version " + list.version()
                + (list.full() ? ", whole list" : ", changes")
                + (poll.isOutdated(list.version()) ? ", ignored because a later one has arrived" : "")
                + (responseMs < SLOW_RESPONSE_MS ? "" : ", in " + Math.round(responseMs) + " ms")
                + describe(list, EndpointStatus.READY)
                + describe(list, EndpointStatus.DRAINING)
                + describe(list, EndpointStatus.GONE));
    }

    void onFailure(long poll, Object cause) {
        log("discovery poll " + poll + " failed: " + cause);
    }

    private static String describe(EndpointList list, EndpointStatus status) {
        StringBuilder ids = new StringBuilder();
        int count = 0;
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().status() != status) {
                continue;
            }
            if (count++ < MAX_NAMED_ENDPOINTS) {
                ids.append(' ').append(entry.endpoint().id());
            }
        }
        if (count == 0) {
            return "";
        }
        String more = count > MAX_NAMED_ENDPOINTS ? " ..." : "";
        return ", " + count + " " + status.name().toLowerCase(Locale.ROOT) + ":" + ids + more;
    }

    private void log(String line) {
        double now = scheduler.now();
        if (!lines.tryTake(now)) {
            suppressed++;
            return;
        }
        String suppressedNote = suppressed == 0 ? "" : " (and " + suppressed + " lines left out before)";
        suppressed = 0;
        logger.info(Math.round(now) + " " + line + suppressedNote);
    }
}
