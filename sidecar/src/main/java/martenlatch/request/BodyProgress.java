package martenlatch.request;

import java.util.Locale;

/**
 * Judges a body that is being transferred by its progress: whether it goes on at a minimum rate, has stopped, or
 * trickles. What counts is when enough bytes have come together, so that a body that trickles looks like one that has
 * stopped. Time in which the receiver takes no more does not count.
 */
public final class BodyProgress {

    /** The number of bytes that count as progress if they come within {@link #MAX_PAUSE_MS}. */
    static final int PROGRESS_BYTES = 4096;
    /** The longest pause of a sound body that begins before its deadline. */
    static final int MAX_PAUSE_MS = 1000;
    /** The longest pause of a sound body that has gone on beyond its deadline. */
    static final int MAX_PAUSE_AFTER_DEADLINE_MS = 2000;
    /** A sound body may pause this many times as long as it has paused before. */
    private static final double REPEATED_PAUSE_FACTOR = 1.5;

    private static final int MAX_REPEATED_PAUSE_MS = 3000;
    /** A body is flowing only if its pauses are not longer than this, or than twice the longest before. */
    private static final int FLOWING_PAUSE_MS = 250;
    /** A body is flowing only if its progress extends over this time; one burst of bytes is no flow. */
    private static final int MIN_FLOW_MS = 20;
    /** A part of this size shows that a body comes in large parts, between which it may pause. */
    private static final int LARGE_PART_BYTES = 16 * 1024;
    /** The time over which the rate is measured. */
    private static final int RATE_WINDOW_MS = 1000;

    private double lastProgressMs;
    /** The time at which progress was made first; NaN if none was. */
    private double firstProgressMs = Double.NaN;
    /** The number of bytes that have come since {@link #countingSinceMs}, and are no progress yet. */
    private int bytesSinceProgress;

    private double countingSinceMs;
    /** The longest time between two times of progress. */
    private double longestPauseMs;
    /** The time since which the receiver takes no more; NaN if it does. */
    private double blockedSinceMs = Double.NaN;

    private long totalBytes;
    /** The beginning of the current window of the rate, and the bytes in it and in the one before. */
    private double windowStartMs;

    private long windowBytes;
    private long previousWindowBytes;

    /** Starts to follow a body whose head has arrived. */
    public BodyProgress(double nowMs) {
        lastProgressMs = nowMs;
        windowStartMs = nowMs;
    }

    /** Called when bytes of the body have arrived. */
    public void onBytes(double nowMs, int bytes) {
        countForRate(nowMs, bytes);
        if (bytesSinceProgress == 0 || nowMs - countingSinceMs > MAX_PAUSE_MS) {
            bytesSinceProgress = 0;
            countingSinceMs = nowMs;
        }
        bytesSinceProgress += bytes;
        if (bytesSinceProgress < PROGRESS_BYTES) {
            return;
        }
        bytesSinceProgress = 0;
        if (Double.isNaN(firstProgressMs)) {
            firstProgressMs = nowMs;
        } else {
            longestPauseMs = Math.max(longestPauseMs, nowMs - lastProgressMs);
        }
        lastProgressMs = Math.max(lastProgressMs, nowMs);
    }

    private void countForRate(double nowMs, int bytes) {
        totalBytes += bytes;
        advanceWindow(nowMs);
        windowBytes += bytes;
    }

    private void advanceWindow(double nowMs) {
        double elapsedMs = nowMs - windowStartMs;
        if (elapsedMs >= RATE_WINDOW_MS) {
            previousWindowBytes = elapsedMs < 2 * RATE_WINDOW_MS ? windowBytes : 0;
            windowBytes = 0;
            windowStartMs += Math.floor(elapsedMs / RATE_WINDOW_MS) * RATE_WINDOW_MS;
        }
    }

    /** Called when the receiver takes no more, so that the body is not read. */
    public void onBlocked(double nowMs) {
        if (Double.isNaN(blockedSinceMs)) {
            blockedSinceMs = nowMs;
        }
    }

    /** Called when the receiver takes more again. */
    public void onUnblocked(double nowMs) {
        if (!Double.isNaN(blockedSinceMs)) {
            lastProgressMs += Math.max(0, nowMs - Math.max(blockedSinceMs, lastProgressMs));
            blockedSinceMs = Double.NaN;
        }
    }

    /** Returns since when the receiver takes no more; NaN if it does. */
    public double blockedSinceMs() {
        return blockedSinceMs;
    }

    /**
     * Returns the time at which the body counts as stopped unless it makes progress before; infinite while the receiver
     * takes no more.
     *
     * @param deadlineMs the time by which the body should have been complete
     */
    public double stoppedAtMs(double deadlineMs) {
        if (!Double.isNaN(blockedSinceMs)) {
            return Double.POSITIVE_INFINITY;
        }
        int maxPauseMs = lastProgressMs < deadlineMs ? MAX_PAUSE_MS : MAX_PAUSE_AFTER_DEADLINE_MS;
        double repeatedPauseMs = Math.min(longestPauseMs * REPEATED_PAUSE_FACTOR, MAX_REPEATED_PAUSE_MS);
        return lastProgressMs + Math.max(maxPauseMs, repeatedPauseMs);
    }

    /** Returns whether the body has made progress steadily until now, so that it can be expected to go on. */
    public boolean isFlowing(double nowMs) {
        boolean lasting = lastProgressMs - firstProgressMs >= MIN_FLOW_MS;
        double maxPauseMs = Math.min(Math.max(FLOWING_PAUSE_MS, 2 * longestPauseMs), MAX_REPEATED_PAUSE_MS);
        boolean current = !Double.isNaN(blockedSinceMs) || nowMs - lastProgressMs <= maxPauseMs;
        return lasting && current;
    }

    /**
     * Returns whether the body may still become whole: it flows, or has come in large parts and pauses for no longer
     * than a sound one may.
     */
    public boolean mayGoOn(double nowMs, double deadlineMs) {
        boolean pausing = totalBytes >= LARGE_PART_BYTES && nowMs < stoppedAtMs(deadlineMs);
        return pausing || isFlowing(nowMs);
    }

    /** Returns the bytes so far, the rate, and since when nothing was read, for the log. */
    public String describe(double nowMs) {
        advanceWindow(nowMs);
        double share = 1 - (nowMs - windowStartMs) / RATE_WINDOW_MS;
        double recentBytes = windowBytes + previousWindowBytes * Math.max(0, share);
        String text = String.format(
                Locale.ROOT,
                "%d bytes, about %.0f of them in the last second, last progress %.0f ms ago",
                totalBytes,
                recentBytes,
                nowMs - lastProgressMs);
        return Double.isNaN(blockedSinceMs)
                ? text
                : text + String.format(Locale.ROOT, ", not read for %.0f ms", nowMs - blockedSinceMs);
    }
}
