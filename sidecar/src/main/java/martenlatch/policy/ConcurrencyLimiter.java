package martenlatch.policy;

import martenlatch.policy.PendingRequest.Attempt;
import martenlatch.policy.api.*;

/**
 * Limits the requests in flight. The limit adapts to congestion, which is the share of the time between base latency
 * and latency objective that responses take.
 */
final class ConcurrencyLimiter {

    /** Initial limit of all balancers together: two requests for each of an endpoint's two cores. */
    static final double INITIAL_REQUESTS_PER_ENDPOINT = 4;

    /** Lowest limit of all balancers together; some requests must still be sent for a recovery to be noticed. */
    private static final double MIN_REQUESTS_PER_ENDPOINT = 0.5;

    private static final double TARGET_CONGESTION = 0.2; // share of the time from base latency to objective
    private static final double MIN_TARGET_FACTOR = 0.5; // lowest factor on the target at a small limit
    private static final double FULL_TARGET_LIMIT = 3; // limit from which the full target applies
    private static final double CONGESTION_GAIN = 1.0 / 16; // weight of a new sample in the congestion
    private static final double DECREASE_FACTOR = 0.85; // factor on the limit at each decrease
    /** Silence, in usual response gaps, after which an endpoint counts as hung. */
    private static final double HUNG_RESPONSE_GAPS = 4;

    private final BalancerState state;
    private final LocalityRouting locality;
    double limit; // maximum number of requests in flight; 0 until the first endpoint list
    /** Moving average of the share of the time between base latency and latency objective that responses took. */
    double congestion;

    private double nextDecreaseMs;
    private double fastGrowthLimit; // limit below which growth may be fast

    ConcurrencyLimiter(BalancerState state, LocalityRouting locality) {
        this.state = state;
        this.locality = locality;
    }

    /** Sets the initial limit at the first endpoint list; later calls leave the adapted limit unchanged. */
    void initialize() {
        if (limit == 0) {
            double initialLimit = INITIAL_REQUESTS_PER_ENDPOINT * state.readyCount / state.settings.balancerCount();
            limit = Math.min(SlotPool.MAX_SLOTS, Math.max(1, initialLimit));
            fastGrowthLimit = 2 * limit;
        }
    }

    /**
     * Returns the congestion above which the limit decreases. It is lower for a small limit, where responses are few
     * and one more request in flight is a large step.
     */
    double targetCongestion() {
        return TARGET_CONGESTION * Math.max(MIN_TARGET_FACTOR, Math.min(1, limit / FULL_TARGET_LIMIT));
    }

    /** Adapts the limit to an outcome: decreases it while congestion is above the target, else slowly increases it. */
    void onAttemptFinished(double nowMs, PendingRequest pending, Attempt attempt, AttemptResult result) {
        EndpointState endpoint = attempt.slot().endpoint;
        if (result.outcome() == AttemptOutcome.TIMED_OUT && isHung(nowMs, endpoint)) {
            return;
        }
        double sample = congestionSample(pending, result);
        locality.recordCongestion(endpoint, sample);
        if (result.outcome() == AttemptOutcome.OK) {
            endpoint.recordResponse(nowMs, sample);
        } else if (result.outcome() == AttemptOutcome.TIMED_OUT && isLoneTimeout(endpoint, attempt)) {
            sample = Math.min(sample, endpoint.congestion);
        }
        // A balancer with few requests in flight gets few responses per second, so each sample has a larger weight.
        congestion += Math.max(CONGESTION_GAIN, 1 / (2 + 2 * limit)) * (sample - congestion);
        if (congestion > targetCongestion()) {
            decrease(nowMs, pending);
        } else if (result.outcome() == AttemptOutcome.OK && state.inFlight * 2 >= limit) {
            increase();
        }
    }

    /** Returns the congestion that an outcome shows: 0 at the base latency or below, 1 at the objective, at most 2. */
    private double congestionSample(PendingRequest pending, AttemptResult result) {
        double baseMs = pending.latency.baseMs();
        double objectiveMs = pending.requestClass.latencyObjectiveMs();
        double spareMs = Math.max(objectiveMs - baseMs, objectiveMs / 4);
        return switch (result.outcome()) {
            case OK, TIMED_OUT -> Math.max(0, Math.min(2, (result.durationMs() - baseMs) / spareMs));
            case REJECTED_QUEUE_FULL -> 1;
            default -> congestion;
        };
    }

    /**
     * Returns whether the endpoint has responded fast to other attempts sent since. A single lost response then shows
     * no more congestion than those responses do.
     */
    private boolean isLoneTimeout(EndpointState endpoint, Attempt attempt) {
        return endpoint.lastResponseMs > attempt.sentAtMs()
                && endpoint.congestion < targetCongestion()
                && endpoint.inFlight <= Math.max(1, limit / state.readyCount);
    }

    /**
     * Returns whether the endpoint has stopped responding. A lower limit helps a congested endpoint, which responds
     * late, but not a hung one.
     */
    private boolean isHung(double nowMs, EndpointState endpoint) {
        return endpoint.responseGapMs > 0
                && nowMs - endpoint.lastResponseMs > HUNG_RESPONSE_GAPS * endpoint.responseGapMs
                && !state.suspectsCommonCause();
    }

    /** Lowers the limit, at most once per typical latency. */
    private void decrease(double nowMs, PendingRequest pending) {
        if (nowMs >= nextDecreaseMs) {
            limit = Math.max(
                    MIN_REQUESTS_PER_ENDPOINT * growthStep(),
                    Math.min(limit, state.peakInFlight + 1) * DECREASE_FACTOR);
            nextDecreaseMs = nowMs + pending.latency.typicalMs();
        }
    }

    /** Raises the limit by a growth step for each response while growth is fast, else for each round of responses. */
    private void increase() {
        boolean fast = limit < fastGrowthLimit && congestion < targetCongestion() / 2;
        limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, (fast ? 1 : 1 / limit) * growthStep()));
    }

    /** Returns this balancer's part of a growth by one request per endpoint over all balancers; at most one request. */
    private double growthStep() {
        return Math.min(1, (double) state.readyCount / state.settings.balancerCount());
    }
}
