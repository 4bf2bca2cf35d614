package martenlatch.discovery;

import java.net.ConnectException;
import java.util.OptionalLong;
import java.util.function.Supplier;
import martenlatch.request.EndpointList;
import martenlatch.request.PollFailure;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Decides when discovery is polled, for what, and how long a response is waited for: poll after poll, until one fails.
 * The listener then decides how to go on, and calls {@link #start} again. No I/O: the transport reports what comes of
 * each poll by its number, and a report on a poll that is over changes nothing.
 */
public final class EndpointListWatcher {

    private final Scheduler scheduler;
    private final DiscoveryTransport transport;
    private final RateLimitedLogger logger;
    private final PollLog pollLog;
    private final Supplier<PollTiming> timing;
    private EndpointList.Listener listener;
    /** The version known of discovery at the present address; empty calls for the whole list. */
    private OptionalLong knownVersion = OptionalLong.empty();

    /** Discovery has answered this process: before that, its list may be of any age. */
    private boolean answered;

    private long polls;
    /** Null while no poll is outstanding. */
    private Poll outstanding;

    private Scheduler.Timer timeoutTimer;
    private double timesOutAtMs;
    /** The response to the outstanding poll has begun to come. */
    private boolean responseStarted;
    /** The last response broke off: a discovery whose responses always do is left alone for a while. */
    private boolean lastResponseBrokeOff;

    /** Creates a watcher; {@code timing} is asked before each poll. */
    public EndpointListWatcher(
            Scheduler scheduler, DiscoveryTransport transport, RateLimitedLogger logger, Supplier<PollTiming> timing) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.logger = logger;
        pollLog = new PollLog(scheduler, logger);
        this.timing = timing;
    }

    /** Sets who hears of lists, and the version that is known already. */
    public void setListener(EndpointList.Listener next, long version) {
        listener = next;
        knownVersion = OptionalLong.of(version);
    }

    /** Starts to poll; an outstanding poll goes on, and its response serves for both. */
    public void start() {
        if (outstanding != null) {
            return;
        }
        polls++;
        outstanding = new Poll(
                polls, knownVersion, answered ? timing.get() : timing.get().withoutWait());
        responseStarted = false;
        startTimeout(outstanding.timeoutMs());
        pollLog.onSent(outstanding);
        transport.send(outstanding);
    }

    /**
     * Discovery is at another address from now on. Versions differ there, so the whole list is polled; the listener
     * decides when, and calls {@link #start}.
     */
    public void onMoved() {
        knownVersion = OptionalLong.empty();
        endOutstanding();
        transport.abort();
        pollLog.onMoved();
        listener.onDiscoveryMoved();
    }

    /** The first bytes of a response have come: from then on the rest of it is due. */
    public void onResponseStarted(long poll) {
        if (!isOutstanding(poll) || responseStarted) {
            return;
        }
        responseStarted = true;
        pollLog.onResponseStarted(poll);
        double responseTimeoutMs = outstanding.timing().responseTimeoutMs();
        if (timesOutAtMs - scheduler.now() > responseTimeoutMs) {
            timeoutTimer.cancel();
            startTimeout(responseTimeoutMs);
        }
    }

    /**
     * A list has come. Where that continues a watch the next poll is sent first, as it has to come soon; where the poll
     * was one without a wait, the listener decides when a watch is started.
     */
    public void onList(long poll, EndpointList list) {
        if (!isOutstanding(poll)) {
            return;
        }
        boolean wasWatch = !outstanding.timing().isWithoutWait();
        endOutstanding();
        pollLog.onList(poll, list);
        lastResponseBrokeOff = false;
        answered = true;
        knownVersion = OptionalLong.of(list.version());
        if (wasWatch) {
            start();
        }
        listener.onEndpointList(list);
        if (!wasWatch) {
            listener.onPollCompleted();
        }
    }

    /** A poll has failed. */
    public void onFailure(long poll, Object cause) {
        if (!isOutstanding(poll)) {
            return;
        }
        endOutstanding();
        lastResponseBrokeOff = false;
        transport.abort();
        logger.log("discovery failed", cause);
        pollLog.onFailure(poll, cause);
        listener.onPollFailed(cause instanceof ConnectException ? PollFailure.UNREACHABLE : PollFailure.REJECTED);
    }

    private void startTimeout(double delayMs) {
        timesOutAtMs = scheduler.now() + delayMs;
        timeoutTimer = scheduler.after(delayMs, this::onTimeout);
    }

    /**
     * No response, or not a complete one. What a broken watch has missed counts as notified soon, and that it was
     * started long ago is of no use: it is started again at once.
     */
    private void onTimeout() {
        Poll timedOut = outstanding;
        boolean brokeOff = responseStarted;
        if (!timedOut.isWatch() || (brokeOff && lastResponseBrokeOff)) {
            onFailure(timedOut.number(), "no answer in time");
            return;
        }
        endOutstanding();
        transport.abort();
        lastResponseBrokeOff = brokeOff;
        String detail = brokeOff
                ? "in the middle of a response"
                : "no response after " + Math.round(timedOut.timeoutMs()) + " ms";
        logger.log("discovery watch timed out", detail);
        pollLog.onFailure(timedOut.number(), detail);
        start();
    }

    private boolean isOutstanding(long poll) {
        return outstanding != null && poll == outstanding.number();
    }

    private void endOutstanding() {
        if (outstanding != null) {
            outstanding = null;
            timeoutTimer.cancel();
        }
    }
}
