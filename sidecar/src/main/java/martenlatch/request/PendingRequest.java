package martenlatch.request;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/** A request that has no final answer yet, or has attempts whose end was not reported to the load balancer yet. */
final class PendingRequest {

    /**
     * The share of a deduplication window within which attempts are written; the rest is reserved for the transfer to
     * the endpoint.
     */
    private static final double DEDUPLICATION_WINDOW_SHARE = 0.95;

    final Request request;
    final Transport transport;
    final ResponseListener listener;
    /** The request class according to the settings at the arrival of the request. */
    final RequestClass requestClass;

    final int maxAttempts;
    final List<PendingAttempt> attempts = new ArrayList<>(2);
    final double acceptedAtMs;
    /** The time at which the client stops waiting; moves while the body is incomplete. */
    double deadlineMs;

    Scheduler.Timer deadlineTimer;
    /** Whether the body is written while it arrives. */
    boolean streamed;
    /** Whether the last byte of the request is still to arrive. */
    boolean bodyIncomplete;
    /** The time by which the last byte of an incomplete body must be forwarded; NaN while it cannot have arrived. */
    double uploadDueMs = Double.NaN;
    /** Whether the request got its final answer or its client disconnected. */
    boolean concluded;
    /** Whether the request was served. */
    boolean served;
    /** Whether the id of the request was claimed in the execution history for this request alone. */
    boolean claimed;
    /** The time at which an earlier request of this id may have been executed; NaN if there was none. */
    double executedBeforeMs = Double.NaN;
    /** The number of attempts whose end was not reported to the load balancer yet. */
    int attemptsInFlight;

    PendingRequest(
            Request request,
            double acceptedAtMs,
            BalancerSettings settings,
            Transport transport,
            ResponseListener listener) {
        this.request = request;
        this.acceptedAtMs = acceptedAtMs;
        this.transport = transport;
        this.listener = listener;
        deadlineMs = request.deadlineMs();
        requestClass = settings.classes().get(request.classIndex());
        maxAttempts = settings.limits().maxAttempts();
    }

    String id() {
        return request.id();
    }

    /** Returns whether the request is concluded and all its attempts have been reported. */
    boolean isFinished() {
        return concluded && attemptsInFlight == 0;
    }

    /**
     * Returns the time after which no further attempt may be written; infinite if the request has no deduplication
     * window or no attempt that may have been executed. The balancer decides within the window, but if a connection is
     * established late, the attempt could be written when the endpoints no longer remember the first execution.
     */
    double notAfterMs() {
        if (requestClass.usesIdempotencyKey()) {
            if (!Double.isNaN(executedBeforeMs)) {
                return executedBeforeMs + requestClass.deduplicationWindowMs() * DEDUPLICATION_WINDOW_SHARE;
            }
            for (PendingAttempt attempt : attempts) {
                if (!attempt.neverExecuted) {
                    return attempt.startedAtMs + requestClass.deduplicationWindowMs() * DEDUPLICATION_WINDOW_SHARE;
                }
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns whether no attempt of the request was or will be executed. */
    boolean isNeverExecuted() {
        return attempts.stream().allMatch(attempt -> attempt.neverExecuted);
    }

    /** Returns the time until the attempt times out; its full timeout while the body is incomplete. */
    double remainingMs(PendingAttempt attempt, double nowMs) {
        return bodyIncomplete
                ? attempt.timeoutMs
                : Math.min(attempt.startedAtMs + attempt.timeoutMs, deadlineMs) - nowMs;
    }

    void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
    }
}
