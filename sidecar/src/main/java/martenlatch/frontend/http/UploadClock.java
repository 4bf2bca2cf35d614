package martenlatch.frontend.http;

/**
 * Knows since when the last byte of an upload may have been written. A client's time counts from that byte, but while
 * the sidecar does not read, as the endpoint reads slowly, the byte may wait in the buffers of the connection.
 */
final class UploadClock {

    /**
     * The time of reading without a pause after which all that the client had written before has been read. An empty
     * receive buffer alone does not show that: the client's system may still have bytes that it could not send.
     */
    static final int CATCH_UP_MS = 100;
    /** More than the buffers of a connection hold, at both ends, with the limits that systems have by default. */
    private static final long MAX_UNREAD_BYTES = 16 * 1024 * 1024;

    /** The number of bytes after which all others may have been written. */
    private final long mayBeCompleteFromBytes;
    /** The time since which input may have been left unread; NaN if none was. */
    private double unreadSinceMs = Double.NaN;
    /** The time since which reading has not paused; NaN while it pauses. */
    private double readingSinceMs;
    /** The time at which all bytes but {@link #MAX_UNREAD_BYTES} had been read; NaN before. */
    private double nearEndSinceMs = Double.NaN;

    /**
     * Creates the clock of an upload that is being read.
     *
     * @param length the length of the body, or -1 if it is not known before the end
     */
    UploadClock(long length, double nowMs) {
        mayBeCompleteFromBytes = length - MAX_UNREAD_BYTES;
        readingSinceMs = nowMs;
        onBytesRead(nowMs, 0);
    }

    /** Called when bytes have been read. */
    void onBytesRead(double nowMs, long totalBytes) {
        if (Double.isNaN(nearEndSinceMs) && totalBytes >= mayBeCompleteFromBytes) {
            nearEndSinceMs = nowMs;
        }
    }

    /** Called when reading stops although there may be more input. */
    void onPaused(double nowMs) {
        readingSinceMs = Double.NaN;
        if (Double.isNaN(unreadSinceMs)) {
            unreadSinceMs = nowMs;
        }
    }

    /** Called when reading goes on. */
    void onResumed(double nowMs) {
        readingSinceMs = nowMs;
    }

    /** Returns how long reading has to go on without a pause until it has caught up; NaN while it pauses. */
    double untilCaughtUpMs(double nowMs) {
        return readingSinceMs + CATCH_UP_MS - nowMs;
    }

    /** Called when all that the client had written has been read. */
    void onCaughtUp() {
        unreadSinceMs = Double.NaN;
    }

    /** Returns the time since which the last byte may have been written, or NaN if it was not. */
    double mayBeCompleteSinceMs() {
        return Double.isNaN(unreadSinceMs) || Double.isNaN(nearEndSinceMs)
                ? Double.NaN
                : Math.max(unreadSinceMs, nearEndSinceMs);
    }
}
