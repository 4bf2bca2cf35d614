package martenlatch.discovery;

import java.util.OptionalLong;
import java.util.function.Consumer;
import martenlatch.request.Scheduler;

/**
 * A poll that has been sent and is not finished: how much of its response has arrived, and when it times out.
 *
 * <p>Before the first bytes of the response, the timeout is that of the poll. A response that has begun times out if it
 * stalls, which means that no bytes arrive for a while, or if it is slow, which means that bytes keep arriving for
 * longer than another poll may be delayed. A poll that has timed out may continue in the background beside later polls;
 * it then has a long timeout of its own. This class does no I/O.
 */
final class OutstandingPoll {

    /** The longest time without bytes of a response that has begun, in the background. */
    private static final double BACKGROUND_STALL_TIMEOUT_MS = 6_000;

    /** The longest time from sending a poll until discovery begins to answer it. */
    private static final double MAX_QUEUE_TIME_MS = 60_000;

    /** The longest time that a poll continues in the background. */
    private static final double MAX_BACKGROUND_MS = 60_000;

    private final Scheduler scheduler;
    private final Poll poll;
    private final int addressNumber;
    private final double maxResponseMs;
    private final Consumer<OutstandingPoll> onTimeout;
    private final double sentAtMs;
    private Scheduler.Timer timer;
    private double timerDueAtMs = Double.POSITIVE_INFINITY;
    /** May be later than the timer, which is then started again. */
    private double timesOutAtMs;

    private long receivedBytes;
    private double firstBytesAtMs;
    private double lastBytesAtMs;
    /** When the poll was moved to the background; infinite before. */
    private double backgroundSinceMs = Double.POSITIVE_INFINITY;
    /** The version of a list that arrived during this poll from the same address; a list below it is outdated. */
    private OptionalLong minVersion = OptionalLong.empty();

    /**
     * Creates a poll that is sent now, and starts its timeout.
     *
     * @param maxResponseMs the time after which a response of which bytes keep arriving is slow
     * @param onTimeout called when the response is missing, stalls or is slow; may be called again in the background
     */
    OutstandingPoll(Scheduler scheduler, Poll poll, double maxResponseMs, Consumer<OutstandingPoll> onTimeout) {
        this(scheduler, poll, 0, maxResponseMs, onTimeout);
    }

    /**
     * Creates a poll as above.
     *
     * @param addressNumber the number of moves of discovery before the poll
     */
    OutstandingPoll(
            Scheduler scheduler,
            Poll poll,
            int addressNumber,
            double maxResponseMs,
            Consumer<OutstandingPoll> onTimeout) {
        this.scheduler = scheduler;
        this.poll = poll;
        this.addressNumber = addressNumber;
        this.maxResponseMs = maxResponseMs;
        this.onTimeout = onTimeout;
        sentAtMs = scheduler.now();
        timeOutAt(sentAtMs + poll.timeoutMs());
    }

    Poll poll() {
        return poll;
    }

    long number() {
        return poll.number();
    }

    int addressNumber() {
        return addressNumber;
    }

    boolean hasResponseStarted() {
        return receivedBytes > 0;
    }

    boolean isInBackground() {
        return backgroundSinceMs < Double.POSITIVE_INFINITY;
    }

    /** Returns whether the time of a response has passed, although bytes may keep arriving. */
    boolean isSlow() {
        return hasResponseStarted() && scheduler.now() >= latestEndMs();
    }

    /** Called when bytes of the response arrive. */
    void onBytes(int count) {
        double nowMs = scheduler.now();
        double stallsAtMs = nowMs + stallTimeoutMs();
        boolean isFirst = !hasResponseStarted();
        receivedBytes += count;
        lastBytesAtMs = nowMs;
        if (isFirst) {
            firstBytesAtMs = nowMs;
            // Only a response of which further bytes arrive gets more time than a missing one.
            timeOutAt(Math.min(stallsAtMs, timesOutAtMs));
        } else {
            timeOutAt(Math.min(stallsAtMs, latestEndMs()));
        }
    }

    /**
     * Returns whether a poll that has timed out may still be answered: its response has begun, or the poll may wait in
     * the queue of an overloaded discovery, where a poll that is sent anew has to wait again. A watch that is silent
     * when its wait is over is broken.
     */
    boolean mayStillBeAnswered() {
        return hasResponseStarted() || !isHeldByDiscovery();
    }

    /** Called when the poll continues in the background. */
    void moveToBackground() {
        backgroundSinceMs = scheduler.now();
        timeOutAt(
                hasResponseStarted() ? backgroundSinceMs + BACKGROUND_STALL_TIMEOUT_MS : sentAtMs + MAX_QUEUE_TIME_MS);
    }

    /** Called when a list of this version has arrived from the same address during this poll. */
    void requireVersion(long version) {
        minVersion = OptionalLong.of(version);
    }

    /** Returns whether a list of this version was composed before one that has arrived from the same address. */
    boolean isOutdated(long version) {
        return minVersion.isPresent() && version < minVersion.getAsLong();
    }

    /** Ends the timeout. */
    void end() {
        timer.cancel();
    }

    /** Describes how much of the response has arrived and when. */
    String describeProgress() {
        double nowMs = scheduler.now();
        if (!hasResponseStarted()) {
            return "no response after " + Math.round(nowMs - sentAtMs) + " ms";
        }
        return "in the middle of a response (" + receivedBytes + " bytes in " + Math.round(nowMs - firstBytesAtMs)
                + " ms, the last " + Math.round(nowMs - lastBytesAtMs) + " ms ago)";
    }

    /** Returns the time since the poll was sent. */
    double sinceSentMs() {
        return scheduler.now() - sentAtMs;
    }

    /** Returns the time from the first bytes of the response until now. */
    double responseMs() {
        return hasResponseStarted() ? scheduler.now() - firstBytesAtMs : 0;
    }

    private double stallTimeoutMs() {
        return isInBackground() ? BACKGROUND_STALL_TIMEOUT_MS : poll.timing().stallTimeoutMs();
    }

    /** Returns the time by which the response has to be complete even if bytes keep arriving. */
    private double latestEndMs() {
        if (isInBackground()) {
            return backgroundSinceMs + MAX_BACKGROUND_MS;
        }
        return isHeldByDiscovery()
                ? firstBytesAtMs + maxResponseMs
                : sentAtMs + Math.max(poll.timeoutMs(), maxResponseMs);
    }

    /** Returns whether discovery may hold the response back; otherwise it is due from the beginning. */
    private boolean isHeldByDiscovery() {
        return poll.isWatch() && !poll.timing().isWithoutWait();
    }

    private void timeOutAt(double atMs) {
        timesOutAtMs = atMs;
        if (atMs < timerDueAtMs) {
            startTimer();
        }
    }

    private void startTimer() {
        if (timer != null) {
            timer.cancel();
        }
        timerDueAtMs = timesOutAtMs;
        timer = scheduler.after(timesOutAtMs - scheduler.now(), this::onTimer);
    }

    private void onTimer() {
        timerDueAtMs = Double.POSITIVE_INFINITY;
        if (scheduler.now() < timesOutAtMs) {
            startTimer();
        } else {
            onTimeout.accept(this);
        }
    }
}
