package martenlatch.frontend.http;

/**
 * Knows since when the last byte of an upload may have been written. A client's time counts from that byte, but while
 * the sidecar does not read, as the endpoint reads slowly, the byte may wait in the buffers of the connection.
 */
final class UploadClock {

    /** The largest number of bytes that a client may have written beyond those that were read. */
    private static final long MAX_UNREAD_BYTES = 4 * 1024 * 1024;

    /** The number of bytes after which all others may have been written. */
    private final long mayBeCompleteFromBytes;
    /** The time since which input has not been read to its end; NaN if all input was read. */
    private double unreadSinceMs = Double.NaN;
    /** The time at which all bytes but {@link #MAX_UNREAD_BYTES} had been read; NaN before. */
    private double nearEndSinceMs = Double.NaN;

    /**
     * Creates the clock of an upload.
     *
     * @param length the length of the body, or -1 if it is not known before the end
     */
    UploadClock(long length) {
        mayBeCompleteFromBytes = length - MAX_UNREAD_BYTES;
    }

    /** Called when bytes have been read. */
    void onBytesRead(double nowMs, long totalBytes) {
        if (Double.isNaN(nearEndSinceMs) && totalBytes >= mayBeCompleteFromBytes) {
            nearEndSinceMs = nowMs;
        }
    }

    /** Called when reading stops although there may be more input. */
    void onPaused(double nowMs) {
        if (Double.isNaN(unreadSinceMs)) {
            unreadSinceMs = nowMs;
        }
    }

    /** Called when all input has been read. */
    void onDrained() {
        unreadSinceMs = Double.NaN;
    }

    /** Returns the time since which the last byte may have been written, or NaN if it was not. */
    double mayBeCompleteSinceMs() {
        return Double.isNaN(unreadSinceMs) || Double.isNaN(nearEndSinceMs)
                ? Double.NaN
                : Math.max(unreadSinceMs, nearEndSinceMs);
    }
}
