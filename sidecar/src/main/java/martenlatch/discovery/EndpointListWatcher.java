package martenlatch.discovery;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.PollFailure;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Decides when discovery is polled, which version is requested and how long to wait for the response. Each completed
 * watch starts the next one until a poll fails; the listener then decides when to call {@link #start} again. This class
 * does no I/O: the transport reports the result of each poll by its number, and reports on finished polls are ignored.
 *
 * <p>A response of which bytes keep arriving is slow but not broken: it is not aborted in favor of another poll, which
 * would take as long. If it takes so long that changes would be learned too late in case it never ends, the poll
 * continues in the background and another one is sent beside it. The next such response gets twice the time, so that
 * slow responses cost an overloaded discovery few further polls.
 *
 * <p>When discovery moves to another address, outstanding polls continue at the previous addresses until a later
 * address has responded. Such a poll may already have waited in the queue of an overloaded discovery, or its response
 * may be in transit, in which case its changes count as notified. If every move aborted the outstanding poll, a series
 * of moves would leave the process without any list.
 */
public final class EndpointListWatcher {

    /** The time of a slow response doubles at most this often. */
    private static final int MAX_RESPONSE_TIME_DOUBLINGS = 4;

    private final Scheduler scheduler;
    private final DiscoveryTransport transport;
    private final RateLimitedLogger logger;
    private final PollLog pollLog;
    private final Supplier<PollTiming> timing;
    private final EndpointListAge age;
    private final ForwardingMonitor forwarding;
    private final ConfirmationPolls confirmations;
    private EndpointList.Listener listener;
    /** The last version received from discovery at the current address; if empty, the whole list is requested. */
    private OptionalLong knownVersion = OptionalLong.empty();
    /** Whether discovery has sent this process a list; until then the list in use may be of any age. */
    private boolean hasReceivedList;
    /** Whether the last poll has timed out without a word; the next one is then answered at once, if at all. */
    private boolean lastPollSilent;

    private long lastPollNumber;
    /** The number of moves of discovery, which identifies its current address. */
    private int addressNumber;
    /** The number of slow responses since the last list from the current address. */
    private int slowResponses;
    /** The poll at the current address, or null if there is none. */
    private OutstandingPoll outstanding;
    /** The polls that continue at previous addresses or in the background, oldest first. */
    private final SupersededPolls superseded;
    /** Whether {@link #start} was deferred until the polls at previous addresses that end soon have ended. */
    private boolean startDeferred;
    /**
     * Whether the last response stalled. A second stalled response in a row fails the poll instead of being retried at
     * once, so that a discovery which truncates every response is not polled in a tight loop.
     */
    private boolean lastResponseStalled;

    /**
     * Creates a watcher that sends nothing yet.
     *
     * @param schedule decides when the list is confirmed beside an open watch
     * @param age decides whether requests may be forwarded by the list in use
     * @param timing supplies the timing of each poll
     */
    public EndpointListWatcher(
            Scheduler scheduler,
            DiscoveryTransport transport,
            RateLimitedLogger logger,
            ConfirmationSchedule schedule,
            EndpointListAge age,
            Supplier<PollTiming> timing) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.logger = logger;
        pollLog = new PollLog(scheduler, logger);
        this.timing = timing;
        this.age = age;
        superseded = new SupersededPolls(transport);
        forwarding = new ForwardingMonitor(scheduler, logger, age);
        confirmations = new ConfirmationPolls(scheduler, transport, pollLog, schedule, this::nextConfirmation);
    }

    /** Sets the listener for lists and failures, and the version of the list that the process starts with. */
    public void setListener(EndpointList.Listener next, long version) {
        listener = next;
        knownVersion = OptionalLong.of(version);
        forwarding.setListener(next);
    }

    /** Applies new settings; returns whether lists are now pushed and were polled before, or the other way round. */
    boolean onSettingsChanged(BalancerSettings settings) {
        boolean wasPushed = age.isPushed();
        forwarding.onSettingsChanged(settings);
        return age.isPushed() != wasPushed;
    }

    void trustList() {
        forwarding.onTrusted();
    }

    EndpointListAge listAge() {
        return age;
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
        startDeferred = !age.isPushed() && isResponseDueFromPreviousAddress();
        if (startDeferred) {
            scheduler.after(superseded.remainingDeferralMs(addressNumber), this::startIfDeferred);
            return;
        }
        lastPollNumber++;
        PollTiming next = mayWait() ? timing.get() : timing.get().withoutWait();
        Poll poll = new Poll(lastPollNumber, knownVersion, next);
        double maxResponseMs = next.maxResponseMs() * (1 << Math.min(slowResponses, MAX_RESPONSE_TIME_DOUBLINGS));
        outstanding = new OutstandingPoll(scheduler, poll, addressNumber, maxResponseMs, this::onTimeout);
        pollLog.onSent(poll);
        transport.send(poll);
        if (isWatchToConfirm()) {
            confirmations.onWatchSent();
        }
    }

    /** Returns whether discovery may hold the next poll; it may not while the list has yet to be confirmed. */
    private boolean mayWait() {
        boolean isAgentInDoubt = age.isPushed() && (age.doubt() != null || lastPollSilent);
        return hasReceivedList && !isAgentInDoubt;
    }

    /** Ends a deferral if the poll at a previous address is overdue: its connection may have fallen silent. */
    private void startIfDeferred() {
        if (startDeferred) {
            start();
        }
    }

    private boolean isWatchToConfirm() {
        return outstanding != null
                && outstanding.poll().isWatch()
                && !outstanding.poll().timing().isWithoutWait()
                && !outstanding.poll().timing().isAgent()
                && !outstanding.hasResponseStarted();
    }

    /** Returns a poll that discovery answers at once with what the open watch should have brought. */
    private Optional<Poll> nextConfirmation() {
        if (!isWatchToConfirm()) {
            return Optional.empty();
        }
        lastPollNumber++;
        PollTiming withoutWait = outstanding.poll().timing().withoutWait();
        return Optional.of(new Poll(lastPollNumber, knownVersion, withoutWait));
    }

    /**
     * Called when discovery has moved to another address. Versions of different addresses are not comparable, so the
     * next poll requests the whole list. The listener decides when, and calls {@link #start}.
     */
    public void onMoved() {
        knownVersion = OptionalLong.empty();
        confirmations.endAll();
        addressNumber++;
        slowResponses = 0;
        transport.useNewConnection(outstanding == null ? null : outstanding.poll());
        if (outstanding != null) {
            superseded.add(outstanding);
            outstanding = null;
        }
        pollLog.onMoved();
        forwarding.onMoved();
        listener.onDiscoveryMoved(age.ageMs(scheduler.now()));
    }

    /** Called when bytes of a response arrive. */
    public void onResponseBytes(long poll, int count) {
        OutstandingPoll confirmation = confirmations.find(poll);
        if (confirmation != null) {
            confirmations.onBytes(confirmation, count);
            return;
        }
        OutstandingPoll responding = findOutstanding(poll);
        if (responding == null) {
            return;
        }
        if (!responding.hasResponseStarted()) {
            pollLog.onResponseStarted(poll);
            responding.onBytes(count);
            onResponseStarted(responding);
        } else {
            responding.onBytes(count);
        }
        listener.onResponseBytes();
    }

    /**
     * The response to a poll from the version in use may tell a change. While there is a doubt already, a response to a
     * poll without a wait adds none: it comes whether or not there is a change.
     */
    private void onResponseStarted(OutstandingPoll responding) {
        Poll poll = responding.poll();
        boolean isFromCurrentVersion = responding.addressNumber() == addressNumber
                && poll.knownVersion().equals(knownVersion);
        boolean isAnsweredInAnyCase = poll.timing().isWithoutWait() && age.doubt() != null;
        if (isFromCurrentVersion && poll.isWatch() && !isAnsweredInAnyCase) {
            forwarding.onResponseStarted();
        }
    }

    /** Called when the connection of a poll was lost and the poll was sent again, so that no watch was open between. */
    public void onResent(long poll) {
        if (outstanding != null && outstanding.number() == poll) {
            forwarding.onWatchBroken();
        }
    }

    /**
     * Called when an endpoint list arrives. If the poll was sent without a wait, the listener decides when a watch is
     * started. Otherwise the next watch is sent before the listener is called, so that the gap between the two polls is
     * short. A list from a previous address is passed on too; the listener then decides when to poll the current one.
     */
    public void onList(long poll, EndpointList list) {
        OutstandingPoll confirmation = confirmations.find(poll);
        if (confirmation != null) {
            onConfirmation(confirmation, list);
            return;
        }
        OutstandingPoll answered = findOutstanding(poll);
        if (answered == null) {
            return;
        }
        pollLog.onList(answered, list);
        hasReceivedList = true;
        lastPollSilent = false;
        boolean isOutdated = answered.isOutdated(list.version());
        endUpTo(answered);
        if (!isOutdated) {
            onConfirmed(answered, answered.addressNumber() == addressNumber);
        }
        if (answered.addressNumber() == addressNumber) {
            onListFromCurrentAddress(answered.poll(), list.version(), isOutdated);
        }
        if (!isOutdated) {
            listener.onEndpointList(list);
            forwarding.update();
        }
        if (outstanding == null && !isResponseDueFromPreviousAddress()) {
            startDeferred = false;
            listener.onPollCompleted(answered.responseMs());
        }
    }

    private void onConfirmed(OutstandingPoll answered, boolean isCurrentDiscovery) {
        double confirmedAtMs = scheduler.now() - answered.responseMs();
        age.onConfirmed(confirmedAtMs, isCurrentDiscovery);
        confirmations.onConfirmed(confirmedAtMs);
    }

    /**
     * Called when a confirmation is answered. If it brings a newer version, the watch should bring it too; if it brings
     * an older one, discovery has started anew. A list that was composed before one that has arrived is ignored.
     */
    private void onConfirmation(OutstandingPoll confirmation, EndpointList list) {
        boolean isOutdated = confirmation.isOutdated(list.version());
        boolean isUnchanged = isKnown(list) && list.entries().isEmpty() && !list.full();
        if (!isUnchanged) {
            pollLog.onList(confirmation, list);
        }
        confirmations.onAnswered(confirmation);
        if (isOutdated) {
            return;
        }
        if (knownVersion.isPresent() && list.version() < knownVersion.getAsLong()) {
            restartSilentWatch(outstanding, list.version());
            return;
        }
        onConfirmed(confirmation, true);
        if (!isUnchanged) {
            applyConfirmation(list);
        }
    }

    private boolean isKnown(EndpointList list) {
        return knownVersion.isPresent() && knownVersion.getAsLong() == list.version();
    }

    private void applyConfirmation(EndpointList list) {
        boolean isNew = !isKnown(list);
        knownVersion = OptionalLong.of(list.version());
        if (outstanding != null) {
            outstanding.requireVersion(list.version());
            OutstandingPoll watch = outstanding;
            if (isNew) {
                scheduler.after(PollTiming.RESPONSE_TIMEOUT_MS, () -> restartSilentWatch(watch, list.version()));
            }
        }
        listener.onEndpointList(list);
        // The listener takes a list for the answer to a watch that continues.
        start();
    }

    /** Sends a watch anew that has not begun to bring a version which discovery has. */
    private void restartSilentWatch(OutstandingPoll watch, long version) {
        if (outstanding == null || outstanding != watch || watch.hasResponseStarted()) {
            return;
        }
        pollLog.onSilentWatch(watch.number(), version);
        logger.log("discovery watch is silent", "version " + version + " is known");
        endOutstanding();
        transport.abort();
        start();
    }

    /** Ends a poll that was answered and all earlier ones. */
    private void endUpTo(OutstandingPoll answered) {
        if (answered == outstanding) {
            endOutstanding();
            superseded.endAll();
        } else {
            superseded.endUpTo(answered);
        }
    }

    /** Continues the watch from the version that has arrived, unless a later poll does so already. */
    private void onListFromCurrentAddress(Poll answered, long version, boolean isOutdated) {
        lastResponseStalled = false;
        slowResponses = 0;
        if (!isOutdated) {
            knownVersion = OptionalLong.of(version);
            superseded.requireVersion(version);
            confirmations.requireVersion(version);
            if (outstanding != null) {
                outstanding.requireVersion(version);
            }
        }
        if (!answered.timing().isWithoutWait()) {
            start();
        }
    }

    /** Called when a poll fails; the cause appears in the log. */
    public void onFailure(long poll, Object cause) {
        OutstandingPoll confirmation = confirmations.find(poll);
        if (confirmation != null) {
            confirmations.onFailure(confirmation, failureOf(cause), cause);
            return;
        }
        OutstandingPoll failed = findOutstanding(poll);
        if (failed == null) {
            return;
        }
        pollLog.onFailure(poll, cause);
        if (failed != outstanding) {
            superseded.end(failed);
            if (startDeferred) {
                start();
            }
            return;
        }
        endOutstanding();
        transport.abort();
        forwarding.onWatchBroken();
        reportFailure(failed, failureOf(cause), cause);
    }

    private void reportFailure(OutstandingPoll failed, PollFailure failure, Object cause) {
        lastResponseStalled = false;
        double listAgeMs = age.ageMs(scheduler.now());
        logger.log("discovery failed", cause + ", list " + describeAge(listAgeMs));
        confirmations.onPollFailed(failed, failure);
        listener.onPollFailed(failure, listAgeMs);
    }

    private static String describeAge(double listAgeMs) {
        return listAgeMs < Double.POSITIVE_INFINITY
                ? "confirmed " + Math.round(listAgeMs) + " ms ago"
                : "never confirmed";
    }

    private static PollFailure failureOf(Object cause) {
        if (cause instanceof ConnectException) {
            return PollFailure.UNREACHABLE;
        }
        return cause instanceof IOException ? PollFailure.CONNECTION_LOST : PollFailure.REJECTED;
    }

    /**
     * Called when a response is missing, stalls or is slow. A watch that has timed out is restarted at once without
     * calling the listener, because the changes that it has missed soon count as notified.
     */
    private void onTimeout(OutstandingPoll timedOut) {
        String detail = timedOut.describeProgress();
        boolean isSlow = timedOut.isSlow();
        lastPollSilent = !timedOut.hasResponseStarted();
        boolean continues = moveToBackground(timedOut, detail);
        if (timedOut != outstanding) {
            onSupersededTimeout(timedOut, continues, detail);
            return;
        }
        if (continues) {
            transport.useNewConnection(timedOut.poll());
            superseded.add(timedOut);
            outstanding = null;
        } else {
            pollLog.onFailure(timedOut.number(), detail);
            endOutstanding();
            transport.abort();
        }
        if (isSlow) {
            onSlowResponse(timedOut, continues, detail);
        } else {
            onMissingOrStalledResponse(timedOut, detail);
        }
    }

    private void onSlowResponse(OutstandingPoll timedOut, boolean continues, String detail) {
        slowResponses++;
        if (!continues) {
            reportFailure(timedOut, PollFailure.NO_RESPONSE, "no answer in time: " + detail);
            return;
        }
        lastResponseStalled = false;
        logger.log("discovery response is slow", detail);
        start();
    }

    private void onMissingOrStalledResponse(OutstandingPoll timedOut, String detail) {
        boolean isSecondStall = timedOut.hasResponseStarted() && lastResponseStalled;
        if (!timedOut.poll().isWatch() || isSecondStall) {
            reportFailure(timedOut, PollFailure.NO_RESPONSE, "no answer in time: " + detail);
            return;
        }
        lastResponseStalled = timedOut.hasResponseStarted();
        logger.log("discovery watch timed out", detail);
        start();
    }

    private void onSupersededTimeout(OutstandingPoll timedOut, boolean continues, String detail) {
        if (!continues) {
            onFailure(timedOut.number(), "no answer in time: " + detail);
        } else if (startDeferred) {
            start();
        }
    }

    /**
     * Moves a poll to the background, if there is room and it may still be answered; returns whether it continues. One
     * that discovery has not begun to answer gives way to one that it has.
     */
    private boolean moveToBackground(OutstandingPoll timedOut, String detail) {
        if (timedOut.isInBackground() || !timedOut.mayStillBeAnswered()) {
            return false;
        }
        if (timedOut.hasResponseStarted()) {
            superseded.endSilentBackgroundPoll();
        }
        if (!superseded.hasBackgroundRoomFor(timedOut)) {
            return false;
        }
        timedOut.moveToBackground();
        pollLog.onMovedToBackground(timedOut.number(), detail);
        return true;
    }

    /** Returns the outstanding poll with this number, or null if it has finished. */
    private OutstandingPoll findOutstanding(long number) {
        if (outstanding != null && outstanding.number() == number) {
            return outstanding;
        }
        return superseded.find(number);
    }

    private boolean isResponseDueFromPreviousAddress() {
        return superseded.remainingDeferralMs(addressNumber) > 0;
    }

    private void endOutstanding() {
        outstanding.end();
        outstanding = null;
    }
}
