package martenlatch.discovery;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.function.Supplier;
import martenlatch.request.EndpointList;
import martenlatch.request.PollFailure;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Decides when discovery is polled, which version is requested and how long to wait for the response. Each completed
 * watch starts the next one until a poll fails; the listener then decides when to call {@link #start} again. This class
 * does no I/O: the transport reports the result of each poll by its number, and reports on finished polls are ignored.
 *
 * <p>When discovery moves to another address, outstanding polls continue at the previous addresses until a later
 * address has responded. Such a poll may already have waited in the queue of an overloaded discovery, or its response
 * may be in transit, in which case its changes count as notified. If every move aborted the outstanding poll, a series
 * of moves would leave the process without any list.
 */
public final class EndpointListWatcher {

    /** The maximum number of previous addresses at which a poll continues; beyond it the oldest poll is aborted. */
    private static final int MAX_SUPERSEDED_POLLS = 2;

    /** A poll that has been sent and is not finished, with its timeout. */
    private final class OutstandingPoll {
        private final Poll poll;
        private Scheduler.Timer timeoutTimer;
        private double timesOutAtMs;
        /** The bytes of the response that have arrived. */
        private long receivedBytes;

        private double firstBytesAtMs;
        private double lastBytesAtMs;

        OutstandingPoll(Poll poll) {
            this.poll = poll;
            startTimeout(poll.timeoutMs());
        }

        boolean hasResponseStarted() {
            return receivedBytes > 0;
        }

        /** Describes how much of the response has arrived and when. */
        String describeProgress() {
            double nowMs = scheduler.now();
            return receivedBytes + " bytes in " + Math.round(nowMs - firstBytesAtMs) + " ms, the last "
                    + Math.round(nowMs - lastBytesAtMs) + " ms ago";
        }

        private void startTimeout(double delayMs) {
            timesOutAtMs = scheduler.now() + delayMs;
            timeoutTimer = scheduler.after(delayMs, () -> onTimeout(this));
        }

        /** Reduces the remaining time to {@code delayMs} if it is longer. */
        void shortenTimeout(double delayMs) {
            if (timesOutAtMs - scheduler.now() > delayMs) {
                timeoutTimer.cancel();
                startTimeout(delayMs);
            }
        }
    }

    private final Scheduler scheduler;
    private final DiscoveryTransport transport;
    private final RateLimitedLogger logger;
    private final PollLog pollLog;
    private final Supplier<PollTiming> timing;
    private EndpointList.Listener listener;
    /** The last version received from discovery at the current address; if empty, the whole list is requested. */
    private OptionalLong knownVersion = OptionalLong.empty();
    /** Whether discovery has sent this process a list; until then the list in use may be of any age. */
    private boolean hasReceivedList;

    private long lastPollNumber;
    /** The poll at the current address, or null if there is none. */
    private OutstandingPoll outstanding;
    /** The polls that continue at previous addresses, oldest first. */
    private final Deque<OutstandingPoll> superseded = new ArrayDeque<>();
    /** Whether {@link #start} was deferred until the polls at previous addresses that end soon have ended. */
    private boolean startDeferred;
    /**
     * Whether the last response was truncated. A second truncated response in a row fails the poll instead of being
     * retried at once, so that a discovery which truncates every response is not polled in a tight loop.
     */
    private boolean lastResponseTruncated;

    /** Creates a watcher that sends nothing yet; {@code timing} supplies the timing of each poll. */
    public EndpointListWatcher(
            Scheduler scheduler, DiscoveryTransport transport, RateLimitedLogger logger, Supplier<PollTiming> timing) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.logger = logger;
        pollLog = new PollLog(scheduler, logger);
        this.timing = timing;
    }

    /** Sets the listener for lists and failures, and the version of the list that the process starts with. */
    public void setListener(EndpointList.Listener next, long version) {
        listener = next;
        knownVersion = OptionalLong.of(version);
    }

    /**
     * Starts polling. Does nothing if a poll is outstanding at the current address, as its response serves both calls.
     * If a poll at a previous address requests the whole list or has no wait, it will end soon, and the new poll is
     * deferred until then: otherwise a series of moves would multiply the polls.
     */
    public void start() {
        if (outstanding != null) {
            return;
        }
        startDeferred = isResponseDueFromPreviousAddress();
        if (startDeferred) {
            return;
        }
        lastPollNumber++;
        PollTiming next = hasReceivedList ? timing.get() : timing.get().withoutWait();
        outstanding = new OutstandingPoll(new Poll(lastPollNumber, knownVersion, next));
        pollLog.onSent(outstanding.poll);
        transport.send(outstanding.poll);
    }

    /**
     * Called when discovery has moved to another address. Versions of different addresses are not comparable, so the
     * next poll requests the whole list. The listener decides when, and calls {@link #start}.
     */
    public void onMoved() {
        knownVersion = OptionalLong.empty();
        transport.switchAddress(outstanding == null ? null : outstanding.poll);
        if (outstanding != null) {
            superseded.addLast(outstanding);
            outstanding = null;
        }
        if (superseded.size() > MAX_SUPERSEDED_POLLS) {
            endSuperseded(superseded.getFirst());
        }
        pollLog.onMoved();
        listener.onDiscoveryMoved();
    }

    /** Called when bytes of a response arrive; the first ones shorten the timeout for the rest of the response. */
    public void onResponseBytes(long poll, int count) {
        OutstandingPoll responding = findOutstanding(poll);
        if (responding == null) {
            return;
        }
        boolean isFirst = !responding.hasResponseStarted();
        responding.receivedBytes += count;
        responding.lastBytesAtMs = scheduler.now();
        if (!isFirst) {
            return;
        }
        responding.firstBytesAtMs = scheduler.now();
        pollLog.onResponseStarted(poll);
        responding.shortenTimeout(responding.poll.timing().responseTimeoutMs());
    }

    /**
     * Called when an endpoint list arrives. If the poll was sent without a wait, the listener decides when a watch is
     * started. Otherwise the next watch is sent before the listener is called, so that the gap between the two polls is
     * short. A list from a previous address is passed on too; the listener then decides when to poll the current one.
     */
    public void onList(long poll, EndpointList list) {
        OutstandingPoll found = findOutstanding(poll);
        if (found == null) {
            return;
        }
        pollLog.onList(poll, list);
        hasReceivedList = true;
        if (found == outstanding) {
            onListFromCurrentAddress(list);
            return;
        }
        while (superseded.contains(found)) {
            endSuperseded(superseded.getFirst());
        }
        listener.onEndpointList(list);
        if (outstanding == null && !isResponseDueFromPreviousAddress()) {
            startDeferred = false;
            listener.onPollCompleted();
        }
    }

    private void onListFromCurrentAddress(EndpointList list) {
        boolean continuesWatch = !outstanding.poll.timing().isWithoutWait();
        endOutstanding();
        while (!superseded.isEmpty()) {
            endSuperseded(superseded.getFirst());
        }
        lastResponseTruncated = false;
        knownVersion = OptionalLong.of(list.version());
        if (continuesWatch) {
            start();
        }
        listener.onEndpointList(list);
        if (!continuesWatch) {
            listener.onPollCompleted();
        }
    }

    /** Called when a poll fails; the cause appears in the log. */
    public void onFailure(long poll, Object cause) {
        OutstandingPoll failed = findOutstanding(poll);
        if (failed == null) {
            return;
        }
        pollLog.onFailure(poll, cause);
        if (failed != outstanding) {
            endSuperseded(failed);
            if (startDeferred) {
                start();
            }
            return;
        }
        endOutstanding();
        lastResponseTruncated = false;
        transport.abort();
        logger.log("discovery failed", cause);
        listener.onPollFailed(cause instanceof ConnectException ? PollFailure.UNREACHABLE : PollFailure.REJECTED);
    }

    /**
     * Called when a response is missing or incomplete at its timeout. A timed-out watch is restarted at once without
     * calling the listener, because the changes that it has missed soon count as notified.
     */
    private void onTimeout(OutstandingPoll timedOut) {
        Poll poll = timedOut.poll;
        boolean truncated = timedOut.hasResponseStarted();
        String detail = truncated
                ? "in the middle of a response (" + timedOut.describeProgress() + ")"
                : "no response after " + Math.round(poll.timeoutMs()) + " ms";
        if (timedOut != outstanding || !poll.isWatch() || (truncated && lastResponseTruncated)) {
            onFailure(poll.number(), "no answer in time: " + detail);
            return;
        }
        endOutstanding();
        transport.abort();
        lastResponseTruncated = truncated;
        logger.log("discovery watch timed out", detail);
        pollLog.onFailure(poll.number(), detail);
        start();
    }

    /** Returns the outstanding poll with this number, or null if it has finished. */
    private OutstandingPoll findOutstanding(long number) {
        if (outstanding != null && outstanding.poll.number() == number) {
            return outstanding;
        }
        for (OutstandingPoll each : superseded) {
            if (each.poll.number() == number) {
                return each;
            }
        }
        return null;
    }

    private boolean isResponseDueFromPreviousAddress() {
        return superseded.stream()
                .anyMatch(each -> !each.poll.isWatch() || each.poll.timing().isWithoutWait());
    }

    private void endOutstanding() {
        outstanding.timeoutTimer.cancel();
        outstanding = null;
    }

    private void endSuperseded(OutstandingPoll ended) {
        ended.timeoutTimer.cancel();
        superseded.remove(ended);
        transport.endSuperseded(ended.poll.number());
    }
}
