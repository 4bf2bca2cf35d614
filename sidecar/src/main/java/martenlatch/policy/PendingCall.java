package martenlatch.policy;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import martenlatch.numeric.LatencyEstimator;
import martenlatch.policy.api.*;

/** A request that has no final answer yet, or still has an attempt in flight. */
final class PendingCall {

    private static final double USEFUL_SHARE = 0.99; // of the objective, where a late answer is worth nothing

    /** One attempt. */
    record Attempt(Slot slot, double sentAtMs) {}

    final Request request;
    final RequestClass requestClass;
    final LatencyEstimator latency;
    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);
    final BitSet ended = new BitSet(); // one bit for each attempt
    final double usefulUntilMs; // when an answer stops being worth waiting for
    /** The client has its final answer, or has disconnected. */
    boolean answered;

    int inFlight;
    boolean withinQuota;
    Attempt mayHaveExecuted; // the first attempt that may have executed: its endpoint and time bind later attempts

    PendingCall(double nowMs, Request request, BalancerSettings settings, LatencyEstimator latency) {
        this.request = request;
        requestClass = settings.classes().get(request.classIndex());
        this.latency = latency;
        maxAttempts = settings.limits().maxAttempts();
        usefulUntilMs = requestClass.latePriorityWeight() > 0
                ? request.deadlineMs()
                : Math.min(request.deadlineMs(), nowMs + requestClass.latencyObjectiveMs() * USEFUL_SHARE);
    }

    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !ended.get(attempt);
    }

    boolean hasTried(EndpointState endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.slot().endpoint == endpoint);
    }
}
