package martenlatch.frontend.http;

import martenlatch.request.Scheduler;

/** Follows the reading of an upload, and tells since when its last byte may have been written without being read. */
final class UploadMonitor {

    /** The client's connection, from which the upload is read. */
    interface Connection {
        /** Reads the input that has arrived, which may end the upload; returns whether it was read to its end. */
        boolean readAhead();

        /**
         * Called when it has changed since when the last byte may have been written.
         *
         * @param sinceMs that time, or NaN if it was not written
         */
        void onMayBeComplete(double sinceMs);
    }

    private final Scheduler scheduler;
    private final Connection connection;
    private final UploadClock clock;
    private boolean paused;
    private boolean closed;
    /** Runs after a pause until all that the client had written may have been read; else null. */
    private Scheduler.Timer catchUpTimer;

    /**
     * Starts to follow an upload.
     *
     * @param length the length of the body, or -1 if it is not known before the end
     * @param paused whether reading is paused already
     */
    UploadMonitor(long length, boolean paused, Scheduler scheduler, Connection connection) {
        this.scheduler = scheduler;
        this.connection = connection;
        this.paused = paused;
        clock = new UploadClock(length, scheduler.now());
        if (paused) {
            clock.onPaused(scheduler.now());
        }
    }

    /** Returns the time since which the last byte may have been written, or NaN if it was not. */
    double mayBeCompleteSinceMs() {
        return clock.mayBeCompleteSinceMs();
    }

    /** Called when reading pauses or goes on. */
    void setPaused(boolean nowPaused) {
        paused = nowPaused;
        if (paused) {
            clock.onPaused(scheduler.now());
            connection.onMayBeComplete(clock.mayBeCompleteSinceMs());
        } else {
            clock.onResumed(scheduler.now());
            awaitCatchUp();
        }
    }

    /** Called when bytes of the body have been received. */
    void onBytesReceived(long totalBytes) {
        double sinceBeforeMs = clock.mayBeCompleteSinceMs();
        clock.onBytesRead(scheduler.now(), totalBytes);
        if (Double.isNaN(sinceBeforeMs) && !Double.isNaN(clock.mayBeCompleteSinceMs())) {
            connection.onMayBeComplete(clock.mayBeCompleteSinceMs());
        }
    }

    private void awaitCatchUp() {
        if (catchUpTimer == null) {
            catchUpTimer = scheduler.after(clock.untilCaughtUpMs(scheduler.now()), this::checkCaughtUp);
        }
    }

    private void checkCaughtUp() {
        catchUpTimer = null;
        // The event loop may have been busy, so that input was left unread without a pause.
        boolean readToEnd = !paused && connection.readAhead();
        if (paused || closed) {
            return;
        }
        if (!readToEnd) {
            clock.onResumed(scheduler.now());
            awaitCatchUp();
        } else if (clock.untilCaughtUpMs(scheduler.now()) > 0) {
            awaitCatchUp();
        } else {
            clock.onCaughtUp();
            connection.onMayBeComplete(Double.NaN);
        }
    }

    /** Ends the supervision; called when the upload has ended or its connection is closed. */
    void close() {
        closed = true;
        if (catchUpTimer != null) {
            catchUpTimer.cancel();
            catchUpTimer = null;
        }
    }
}
