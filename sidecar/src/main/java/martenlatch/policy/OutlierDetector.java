package martenlatch.policy;

import martenlatch.policy.api.*;

/** Decides from the outcomes of attempts when an endpoint is ejected, put on probation and recovered. */
final class OutlierDetector {

    /** Failed responses up to this rate count as random failures. */
    private static final double MAX_RANDOM_FAILURE_RATE = 0.4;

    private static final int MAX_PAUSE_DOUBLINGS = 5; // each failure in a row doubles the pause, up to this many times
    /** Doublings of the number of good responses that end a probation. */
    private static final int MAX_RECOVERY_DOUBLINGS = 3;

    private final BalancerState state;
    private final SlotPool pool;
    private final BalancerActions actions;

    OutlierDetector(BalancerState state, SlotPool pool, BalancerActions actions) {
        this.state = state;
        this.pool = pool;
        this.actions = actions;
    }

    /**
     * Frees the slot of an attempt and updates its endpoint; {@code failed} if the endpoint is to blame for the
     * outcome. An outcome of a response that is not complete counts once that has ended.
     */
    void onAttemptFinished(double nowMs, Slot slot, AttemptOutcome outcome, boolean failed, boolean responseComplete) {
        EndpointState endpoint = slot.endpoint;
        slot.busy = false;
        endpoint.inFlight--;
        state.inFlight--;
        if (endpoint.removed) {
            return;
        }
        if (pool.recordConnection(slot, outcome)) {
            pool.discard(slot);
            pool.pause(nowMs, endpoint, state.settings.limits().connectTimeoutMs() * 2);
        } else if (failed && !state.suspectsCommonCause()) {
            pool.discard(slot);
            if (isOutlier(endpoint, outcome)) {
                eject(nowMs, endpoint);
            }
            pool.offerSpare(nowMs, endpoint);
        } else if (outcome == AttemptOutcome.OK && responseComplete) {
            recordGoodResponse(nowMs, endpoint);
        }
        if (outcome == AttemptOutcome.REJECTED_QUEUE_FULL) {
            state.counters.countQueueFull();
            // The endpoint is congested, not faulty: it loses this slot and offers no other for a while.
            pool.discard(slot);
            pool.pause(nowMs, endpoint, state.settings.limits().connectTimeoutMs());
        }
        if (slot.discarded && endpoint.heldSlots == 0 && endpoint.inFlight == 0) {
            actions.closeIdleConnections(endpoint.id);
        }
    }

    /** Only a good response counts towards recovery; attempts at a hung endpoint also end, but by time-out. */
    private void recordGoodResponse(double nowMs, EndpointState endpoint) {
        endpoint.failureRate -= EndpointState.FAILURE_GAIN * endpoint.failureRate;
        recordRecovery(nowMs, endpoint);
    }

    /** Counts a response that was not complete when its attempt ended. */
    void onResponseEnded(double nowMs, EndpointState endpoint, boolean complete) {
        if (complete) {
            recordGoodResponse(nowMs, endpoint);
        } else if (!state.suspectsCommonCause() && isOutlier(endpoint, AttemptOutcome.RESET)) {
            eject(nowMs, endpoint);
        }
    }

    /**
     * Counts a failure and returns whether to eject the endpoint. A single failed or reset response may be random, so
     * those must exceed a rate; any other failure is rarer and ejects at once.
     */
    private static boolean isOutlier(EndpointState endpoint, AttemptOutcome outcome) {
        endpoint.failureRate += EndpointState.FAILURE_GAIN * (1 - endpoint.failureRate);
        return endpoint.onProbation
                || (outcome != AttemptOutcome.FAILED && outcome != AttemptOutcome.RESET)
                || endpoint.failureRate > MAX_RANDOM_FAILURE_RATE;
    }

    /**
     * Puts an endpoint on probation and pauses it, longer after each failure; the second in a row discards its slots.
     */
    private void eject(double nowMs, EndpointState endpoint) {
        endpoint.consecutiveFailures = Math.min(endpoint.consecutiveFailures + 1, MAX_PAUSE_DOUBLINGS);
        endpoint.probationResponses = 0;
        if (!endpoint.onProbation) {
            endpoint.onProbation = true;
            state.probationCount++;
            state.counters.countEjection();
        }
        double pauseMs = state.settings.limits().connectTimeoutMs() * (1 << endpoint.consecutiveFailures);
        pool.pause(nowMs, endpoint, pauseMs);
        if (endpoint.consecutiveFailures > 1) {
            pool.discardAll(endpoint);
        }
    }

    /** Counts a good response; enough of them end a probation. */
    private void recordRecovery(double nowMs, EndpointState endpoint) {
        if (!endpoint.onProbation) {
            endpoint.consecutiveFailures = 0;
        } else if (++endpoint.probationResponses
                >= 1 << Math.min(endpoint.consecutiveFailures, MAX_RECOVERY_DOUBLINGS)) {
            endProbation(endpoint);
            endpoint.consecutiveFailures /= 2;
            pool.offerSpare(nowMs, endpoint);
        }
    }

    private void endProbation(EndpointState endpoint) {
        if (endpoint.onProbation) {
            endpoint.onProbation = false;
            state.probationCount--;
        }
    }

    /** Ends a probation and discards the endpoint's statistics. */
    void resetStatistics(EndpointState endpoint) {
        endProbation(endpoint);
        endpoint.resetStatistics();
    }
}
