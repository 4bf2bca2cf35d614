package martenlatch.discovery;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.api.PollFailure;
import martenlatch.request.Scheduler;

/**
 * The polls by which discovery confirms the endpoint list beside an open watch. Each is answered at once and has a
 * connection of its own, because the one of the watch may have fallen silent. If there is no response although
 * discovery was prompt before, a second one is sent beside the first. This class does no I/O.
 */
final class ConfirmationPolls {

    private static final int MAX_OUTSTANDING = 2;

    private final Scheduler scheduler;
    private final DiscoveryTransport transport;
    private final PollLog log;
    private final ConfirmationSchedule schedule;
    /** Supplies the next poll, or nothing while no watch is open that has to be confirmed. */
    private final Supplier<Optional<Poll>> nextPoll;

    private final Deque<OutstandingPoll> outstanding = new ArrayDeque<>();
    private Scheduler.Timer timer;
    private Scheduler.Timer missingResponseTimer;

    ConfirmationPolls(
            Scheduler scheduler,
            DiscoveryTransport transport,
            PollLog log,
            ConfirmationSchedule schedule,
            Supplier<Optional<Poll>> nextPoll) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.log = log;
        this.schedule = schedule;
        this.nextPoll = nextPoll;
    }

    /** Called when a watch has been sent. */
    void onWatchSent() {
        schedule.onWatchSent(scheduler.now());
        startTimer();
    }

    /** Called when discovery has confirmed the list at this time. */
    void onConfirmed(double confirmedAtMs) {
        schedule.onConfirmed(confirmedAtMs);
        startTimer();
    }

    /** Called when a poll that is no confirmation has failed. */
    void onPollFailed(OutstandingPoll failed, PollFailure failure) {
        if (failure != PollFailure.CONNECTION_LOST) {
            schedule.onPollFailed(scheduler.now(), failed.sinceSentMs(), failure == PollFailure.REJECTED);
        }
    }

    /** Returns the outstanding confirmation with this number, or null. */
    OutstandingPoll find(long number) {
        return outstanding.stream()
                .filter(each -> each.number() == number)
                .findFirst()
                .orElse(null);
    }

    /** Called when bytes of the response to a confirmation arrive. */
    void onBytes(OutstandingPoll responding, int count) {
        if (!responding.hasResponseStarted()) {
            schedule.onResponseTime(responding.sinceSentMs());
        }
        responding.onBytes(count);
    }

    /** Called when the list of a confirmation has arrived: all outstanding ones have done their work. */
    void onAnswered(OutstandingPoll answered) {
        if (!answered.hasResponseStarted()) {
            schedule.onResponseTime(answered.sinceSentMs());
        }
        endAll();
        schedule.onAnswered(scheduler.now());
        startTimer();
    }

    /** Called when a list of this version has arrived by another poll: a confirmation below it is outdated. */
    void requireVersion(long version) {
        outstanding.forEach(each -> each.requireVersion(version));
    }

    /** Called when a confirmation has failed. */
    void onFailure(OutstandingPoll failed, PollFailure failure, Object cause) {
        switch (failure) {
            case CONNECTION_LOST -> schedule.onConnectionLost(scheduler.now());
            case REJECTED -> schedule.onRejected(scheduler.now());
            default -> schedule.onNoResponse(scheduler.now(), failed.sinceSentMs());
        }
        endFailed(failed, cause);
    }

    private void onTimeout(OutstandingPoll timedOut) {
        schedule.onNoResponse(scheduler.now(), timedOut.sinceSentMs());
        endFailed(timedOut, "no answer in time: " + timedOut.describeProgress());
    }

    private void endFailed(OutstandingPoll failed, Object cause) {
        log.onFailure(failed.number(), cause + " (confirmation)");
        end(failed);
        startTimer();
    }

    /** Ends all outstanding confirmations without a result. */
    void endAll() {
        List.copyOf(outstanding).forEach(this::end);
    }

    private void startTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        double dueAtMs = schedule.dueAtMs();
        if (dueAtMs < Double.POSITIVE_INFINITY) {
            timer = scheduler.after(Math.max(0, dueAtMs - scheduler.now()), this::onDue);
        }
    }

    private void onDue() {
        if (outstanding.isEmpty()) {
            send();
        }
    }

    private void send() {
        Optional<Poll> next = nextPoll.get();
        if (next.isEmpty()) {
            return;
        }
        Poll poll = next.get();
        outstanding.addLast(new OutstandingPoll(scheduler, poll, poll.timing().maxResponseMs(), this::onTimeout));
        transport.sendBeside(poll);
        if (schedule.isDiscoveryPrompt() && outstanding.size() < MAX_OUTSTANDING) {
            missingResponseTimer = scheduler.after(ConfirmationSchedule.SLOW_RESPONSE_MS, this::onResponseMissing);
        }
    }

    private void onResponseMissing() {
        boolean isMissing = outstanding.size() == 1 && !outstanding.getFirst().hasResponseStarted();
        if (isMissing) {
            log.onConfirmationMissing(outstanding.getFirst().describeProgress());
            schedule.onResponseMissing();
            send();
        }
    }

    private void end(OutstandingPoll ended) {
        ended.end();
        outstanding.remove(ended);
        transport.endSuperseded(ended.number());
        if (outstanding.isEmpty() && missingResponseTimer != null) {
            missingResponseTimer.cancel();
        }
    }
}
