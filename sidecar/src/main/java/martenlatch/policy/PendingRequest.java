package martenlatch.policy;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import martenlatch.numeric.LatencyEstimator;
import martenlatch.policy.api.*;

/** The state of a request that has no final answer yet or still has an attempt in flight. */
final class PendingRequest {

    /** The share of the latency objective that is waited for where a late answer is worth nothing. */
    private static final double USEFUL_SHARE = 0.99;

    /** An attempt that was sent, by the slot that it took and the time when it was sent. */
    record Attempt(Slot slot, double sentAtMs) {}

    final Request request;
    final RequestClass requestClass;
    final LatencyEstimator latency;
    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);
    final BitSet endedAttempts = new BitSet(); // bit i is set when attempt i has ended
    final BitSet begunResponses = new BitSet(); // bit i is set when attempt i ends before its response is complete
    final double usefulUntilMs; // the time after which an answer is not worth waiting for
    /** True once the client has its final answer or has disconnected. */
    boolean answered;

    int inFlight; // attempts of this request in flight
    boolean withinQuota; // whether the tenant's quota covered this request
    /** The first attempt that may have executed, or null; its endpoint and send time restrict later attempts. */
    Attempt firstPossiblyExecuted;

    PendingRequest(double nowMs, Request request, BalancerSettings settings, LatencyEstimator latency) {
        this.request = request;
        requestClass = settings.classes().get(request.classIndex());
        this.latency = latency;
        maxAttempts = settings.limits().maxAttempts();
        usefulUntilMs = requestClass.latePriorityWeight() > 0
                ? request.deadlineMs()
                : Math.min(request.deadlineMs(), nowMs + requestClass.latencyObjectiveMs() * USEFUL_SHARE);
    }

    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !endedAttempts.get(attempt);
    }

    /** Returns whether an outcome counts as the endpoint's failure; a time-out does only beyond the tail latency. */
    boolean isFailure(AttemptResult result) {
        return switch (result.outcome()) {
            case FAILED, CONNECT_ERROR, RESET -> true;
            case TIMED_OUT -> result.durationMs() >= latency.tailMs();
            default -> false;
        };
    }

    boolean hasTried(EndpointState endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.slot().endpoint == endpoint);
    }
}
