package martenlatch.request;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/** A request that has no final answer yet, or still has attempts that the load balancer was not told the end of. */
final class PendingRequest {

    /** The rest of a deduplication window is reserved for the way to the endpoint. */
    private static final double WINDOW_SHARE = 0.95;

    final Request request;
    final Transport transport;
    final ResponseListener listener;
    /** As the settings were when the request came. */
    final RequestClass requestClass;

    final int maxAttempts;
    final List<PendingAttempt> attempts = new ArrayList<>(2);
    final double acceptedAtMs;
    /** When the client stops waiting; its time does not begin before the last byte of the request has come. */
    double deadlineMs;

    Scheduler.Timer deadlineTimer;
    /** The last byte of the request has not come yet. */
    boolean bodyIncomplete;
    /** It has its final answer, or its client has disconnected. */
    boolean concluded;
    /** Attempts whose end the load balancer was not told yet. */
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

    /** Whether nothing more can come of it. */
    boolean isOver() {
        return concluded && attemptsInFlight == 0;
    }

    /**
     * The time after which no further attempt may be written. The decision is made in time, but a connection that is
     * established late would carry it out when the endpoints have forgotten the first execution.
     */
    double notAfterMs() {
        if (requestClass.usesIdempotencyKey()) {
            for (PendingAttempt attempt : attempts) {
                if (!attempt.neverExecuted) {
                    return attempt.startedAtMs + requestClass.deduplicationWindowMs() * WINDOW_SHARE;
                }
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** How long an attempt will still be waited for; no time of it passes while the request is incomplete. */
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
