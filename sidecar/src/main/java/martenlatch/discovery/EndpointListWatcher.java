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
 * Decides when discovery is polled, for what, and how long a response is waited for: poll after poll, until one fails.
 * The listener then decides how to go on, and calls {@link #start} again. No I/O: the transport reports what comes of
 * each poll by its number, and a report on a poll that is over changes nothing.
 *
 * <p>When discovery moves, polls that are under way go on at the addresses before until a later one has answered: a
 * poll may have waited in a crowded queue, or its response may be on its way and counts as notified. Aborted, moves in
 * a row would leave the list without an answer for as long as they come.
 */
public final class EndpointListWatcher {

    /** Addresses before the present one at which a poll goes on; with quick moves the oldest are given up. */
    private static final int MAX_SUPERSEDED_POLLS = 2;

    /** A poll that is under way. */
    private final class OutstandingPoll {
        private final Poll poll;
        private Scheduler.Timer timeoutTimer;
        private double timesOutAtMs;
        /** The response has begun to come. */
        private boolean responseStarted;

        OutstandingPoll(Poll poll) {
            this.poll = poll;
            startTimeout(poll.timeoutMs());
        }

        private void startTimeout(double delayMs) {
            timesOutAtMs = scheduler.now() + delayMs;
            timeoutTimer = scheduler.after(delayMs, () -> onTimeout(this));
        }

        /** The rest of a response that has begun is due soon. */
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
    /** The version known of discovery at the present address; empty calls for the whole list. */
    private OptionalLong knownVersion = OptionalLong.empty();
    /** Discovery has answered this process: before that, its list may be of any age. */
    private boolean answered;

    private long polls;
    /** At the present address; null while no poll is under way there. */
    private OutstandingPoll outstanding;
    /** At addresses before, the oldest first. */
    private final Deque<OutstandingPoll> superseded = new ArrayDeque<>();
    /** A poll at the present address is due once those at addresses before that are no watches have ended. */
    private boolean startIsDue;
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

    /**
     * Starts to poll; an outstanding poll at the present address goes on, and its response serves for both. One at an
     * address before that is not a watch is about to end, and is waited for: moves in a row must not multiply polls.
     */
    public void start() {
        if (outstanding != null) {
            return;
        }
        startIsDue = isAnswerDueFromAddressBefore();
        if (startIsDue) {
            return;
        }
        polls++;
        PollTiming next = answered ? timing.get() : timing.get().withoutWait();
        outstanding = new OutstandingPoll(new Poll(polls, knownVersion, next));
        pollLog.onSent(outstanding.poll);
        transport.send(outstanding.poll);
    }

    /**
     * Discovery is at another address from now on. Versions differ there, so the whole list is polled; the listener
     * decides when, and calls {@link #start}.
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

    /** The first bytes of a response have come: from then on the rest of it is due. */
    public void onResponseStarted(long poll) {
        OutstandingPoll started = find(poll);
        if (started == null || started.responseStarted) {
            return;
        }
        started.responseStarted = true;
        pollLog.onResponseStarted(poll);
        started.shortenTimeout(started.poll.timing().responseTimeoutMs());
    }

    /**
     * A list has come. Where that continues a watch the next poll is sent first, as it has to come soon; where the poll
     * was one without a wait, the listener decides when a watch is started. A list from an address before is applied,
     * and the next poll goes to the present address when the listener says.
     */
    public void onList(long poll, EndpointList list) {
        OutstandingPoll found = find(poll);
        if (found == null) {
            return;
        }
        pollLog.onList(poll, list);
        answered = true;
        if (found == outstanding) {
            onPresentList(list);
            return;
        }
        while (superseded.contains(found)) {
            endSuperseded(superseded.getFirst());
        }
        listener.onEndpointList(list);
        if (outstanding == null && !isAnswerDueFromAddressBefore()) {
            startIsDue = false;
            listener.onPollCompleted();
        }
    }

    private void onPresentList(EndpointList list) {
        boolean wasWatch = !outstanding.poll.timing().isWithoutWait();
        endOutstanding();
        while (!superseded.isEmpty()) {
            endSuperseded(superseded.getFirst());
        }
        lastResponseBrokeOff = false;
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
        OutstandingPoll failed = find(poll);
        if (failed == null) {
            return;
        }
        pollLog.onFailure(poll, cause);
        if (failed != outstanding) {
            endSuperseded(failed);
            if (startIsDue) {
                start();
            }
            return;
        }
        endOutstanding();
        lastResponseBrokeOff = false;
        transport.abort();
        logger.log("discovery failed", cause);
        listener.onPollFailed(cause instanceof ConnectException ? PollFailure.UNREACHABLE : PollFailure.REJECTED);
    }

    /**
     * No response, or not a complete one. What a broken watch has missed counts as notified soon, and that it was
     * started long ago is of no use: it is started again at once.
     */
    private void onTimeout(OutstandingPoll timedOut) {
        Poll poll = timedOut.poll;
        boolean brokeOff = timedOut.responseStarted;
        if (timedOut != outstanding || !poll.isWatch() || (brokeOff && lastResponseBrokeOff)) {
            onFailure(poll.number(), "no answer in time");
            return;
        }
        endOutstanding();
        transport.abort();
        lastResponseBrokeOff = brokeOff;
        String detail =
                brokeOff ? "in the middle of a response" : "no response after " + Math.round(poll.timeoutMs()) + " ms";
        logger.log("discovery watch timed out", detail);
        pollLog.onFailure(poll.number(), detail);
        start();
    }

    /** The poll with this number, or null if it is over. */
    private OutstandingPoll find(long number) {
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

    private boolean isAnswerDueFromAddressBefore() {
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
