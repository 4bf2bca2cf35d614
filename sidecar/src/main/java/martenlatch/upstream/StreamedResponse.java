package martenlatch.upstream;

import martenlatch.net.MemoryBudget;
import martenlatch.net.PartQueue;
import martenlatch.request.BodyProgress;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/** The rest of a response body, which is forwarded while it is being received from an endpoint's connection. */
final class StreamedResponse implements RemainingBody {

    /**
     * The time without progress after which the endpoint or the client is assumed to be gone without notice. It is
     * longer than any pause of a healthy peer, and short enough for the resources that the stream holds.
     */
    static final int STALL_MS = 10_000;

    /** The connection from which the body is received. */
    interface Connection {
        /** Resumes or pauses reading from the connection. */
        void setReading(boolean reading);

        /** Closes the connection because the rest of the body is not needed. */
        void close();
    }

    /** The length of the whole body in bytes, or -1 if it is not known before the end. */
    private final long length;

    private final Connection connection;
    private final Scheduler scheduler;
    /** The parts that have arrived and wait for the receiver. */
    private final PartQueue parts;

    private Receiver receiver;
    private Scheduler.Timer stallTimer;
    private double lastPartAtMs;
    private final BodyProgress progress;
    /** The time from which the body ends once it makes no progress. */
    private double arrivalDeadlineMs = Double.POSITIVE_INFINITY;
    /** Runs while the body is read and has an arrival deadline; else null. */
    private Scheduler.Timer arrivalTimer;
    /** Runs if the body has to end by a given time; else null. */
    private Scheduler.Timer latestEndTimer;

    private boolean paused;
    /** Whether parts are being passed to the receiver. */
    private boolean sending;
    /** Whether the last part has arrived. */
    private boolean ended;

    private boolean complete;
    /** How the body ends if it is not complete. */
    private End truncation = End.TRUNCATED;

    private EndListener endListener = (end, endProgress) -> {};

    StreamedResponse(
            long length, Connection connection, Scheduler scheduler, MemoryBudget memory, BodyProgress progress) {
        this.length = length;
        this.progress = progress;
        parts = new PartQueue(memory);
        this.connection = connection;
        this.scheduler = scheduler;
        lastPartAtMs = scheduler.now();
        progress.onBlocked(lastPartAtMs);
        connection.setReading(false);
        startStallTimer();
    }

    /** Starts a timer that closes the connection if no part has arrived for {@link #STALL_MS}. */
    private void startStallTimer() {
        double delayMs = lastPartAtMs + STALL_MS - scheduler.now();
        stallTimer = scheduler.after(delayMs, () -> {
            if (scheduler.now() - lastPartAtMs >= STALL_MS) {
                truncate(isTaken() ? End.TIMED_OUT : End.NOT_TAKEN);
            } else if (!ended) {
                startStallTimer();
            }
        });
    }

    /** Returns whether a receiver is set and takes more; else the body is not read. */
    private boolean isTaken() {
        return receiver != null && Double.isNaN(progress.blockedSinceMs());
    }

    private void truncate(End reason) {
        truncation = reason;
        connection.close();
    }

    @Override
    public void setEndListener(EndListener listener) {
        endListener = listener;
    }

    @Override
    public long length() {
        return length;
    }

    @Override
    public boolean isComplete() {
        return ended && complete;
    }

    @Override
    public boolean isTruncated() {
        return ended && !complete;
    }

    @Override
    public void setArrivalDeadline(double deadlineMs) {
        arrivalDeadlineMs = deadlineMs;
        stopArrivalTimer();
        startArrivalTimer();
    }

    /** Starts the timer of the next look at the progress of the body, unless nobody takes it. */
    private void startArrivalTimer() {
        boolean blocked = receiver != null && !isTaken();
        if (!ended && !blocked && arrivalDeadlineMs < Double.POSITIVE_INFINITY) {
            double nextLookMs = receiver == null
                    ? arrivalDeadlineMs
                    : Math.max(arrivalDeadlineMs, progress.stoppedAtMs(arrivalDeadlineMs));
            arrivalTimer = scheduler.after(nextLookMs - scheduler.now(), this::truncateIfStopped);
        }
    }

    private void truncateIfStopped() {
        if (receiver == null) {
            truncate(End.NOT_TAKEN);
        } else if (scheduler.now() >= progress.stoppedAtMs(arrivalDeadlineMs)) {
            truncate(End.TIMED_OUT);
        } else {
            startArrivalTimer();
        }
    }

    private void stopTimers() {
        stallTimer.cancel();
        stopArrivalTimer();
        endBy(Double.POSITIVE_INFINITY);
    }

    @Override
    public void endBy(double latestMs) {
        if (latestEndTimer != null) {
            latestEndTimer.cancel();
        }
        if (!ended && latestMs < Double.POSITIVE_INFINITY) {
            latestEndTimer = scheduler.after(latestMs - scheduler.now(), () -> truncate(End.PROCESS_ENDS));
        }
    }

    private void stopArrivalTimer() {
        if (arrivalTimer != null) {
            arrivalTimer.cancel();
            arrivalTimer = null;
        }
    }

    /** Resumes or pauses reading; while it pauses, the body is not judged by its progress. */
    private void setReading(boolean reading) {
        boolean wasBlocked = !Double.isNaN(progress.blockedSinceMs());
        if (reading && wasBlocked) {
            progress.onUnblocked(scheduler.now());
            stopArrivalTimer();
            startArrivalTimer();
        } else if (!reading && !wasBlocked) {
            progress.onBlocked(scheduler.now());
            stopArrivalTimer();
        }
        connection.setReading(reading);
    }

    /** Called when the next part has been received. */
    void onPart(byte[] bytes) {
        lastPartAtMs = scheduler.now();
        parts.add(bytes);
        send();
    }

    /** Passes parts to the receiver until it pauses, and then the end. Reads on if nothing is left to be passed. */
    private void send() {
        // Passing a part may change whether the client's connection is writable, which calls pause().
        if (sending || receiver == null) {
            return;
        }
        sending = true;
        while (!paused && receiver != null && !parts.isEmpty()) {
            receiver.onPart(parts.poll());
        }
        sending = false;
        if (receiver != null && ended && parts.isEmpty()) {
            Receiver finished = receiver;
            receiver = null;
            finished.onEnd(complete);
        } else if (!ended) {
            setReading(!paused && parts.isEmpty());
        }
    }

    /** Called when the body has ended, either complete or truncated. Further calls have no effect. */
    void onEnd(boolean bodyComplete) {
        if (ended) {
            return;
        }
        ended = true;
        complete = bodyComplete;
        stopTimers();
        if (!complete) {
            // What is left of a truncated body is of no use to the client, which must see that it is truncated.
            parts.clear();
        }
        endListener.onBodyEnd(complete ? End.COMPLETE : truncation, progress);
        send();
    }

    @Override
    public void transferTo(Receiver newReceiver) {
        receiver = newReceiver;
        send();
    }

    @Override
    public void pause(boolean pauseRequested) {
        paused = pauseRequested;
        send();
    }

    @Override
    public void abandon() {
        End end = isTaken() ? End.INTERRUPTED : End.NOT_TAKEN;
        receiver = null;
        parts.clear();
        if (!ended) {
            ended = true;
            stopTimers();
            endListener.onBodyEnd(end, progress);
            connection.close();
        }
    }
}
