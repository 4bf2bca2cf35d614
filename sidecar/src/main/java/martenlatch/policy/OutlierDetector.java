package martenlatch.policy;

import martenlatch.policy.api.*;

/** Decides by the outcomes of attempts when an endpoint is ejected, on probation, and recovered. */
final class OutlierDetector {

    private static final double CHANCE_FAILURE_RATE = 0.4; // up to here failed answers count as chance

    private static final int MAX_DOUBLINGS = 5; // the pause doubles with each failure in a row, up to so many times
    private static final int MAX_RECOVERY_DOUBLINGS = 3; // of the answers that end a probation

    private final BalancerState state;
    private final SlotPool pool;
    private final BalancerActions actions;

    OutlierDetector(BalancerState state, SlotPool pool, BalancerActions actions) {
        this.state = state;
        this.pool = pool;
        this.actions = actions;
    }

    /** Frees the slot of an attempt that has ended, and judges its endpoint; {@code failed} if it speaks against it. */
    void onAttemptFinished(double nowMs, Slot slot, AttemptOutcome outcome, boolean failed) {
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
        } else if (failed && !state.suspectsSharedCause()) {
            pool.discard(slot);
            if (isOutlier(endpoint, outcome)) {
                eject(nowMs, endpoint);
            }
            pool.offerSpare(nowMs, endpoint);
        } else if (outcome == AttemptOutcome.OK) {
            endpoint.failureRate -= EndpointState.FAILURE_GAIN * endpoint.failureRate;
            // Only an answer shows that an endpoint works: attempts at one that hangs end too, by time-out.
            recordRecovery(nowMs, endpoint);
        }
        if (outcome == AttemptOutcome.REJECTED_QUEUE_FULL) {
            state.counters.countQueueFull();
            // It is crowded, not faulty: the slot is discarded, and no other one offered for a while.
            pool.discard(slot);
            pool.pause(nowMs, endpoint, state.settings.limits().connectTimeoutMs());
        }
        if (slot.discarded && endpoint.heldSlots == 0 && endpoint.inFlight == 0) {
            actions.closeIdleConnections(endpoint.id);
        }
    }

    /** Where a few of all answers fail at any endpoint, one failed answer says little; other failures are rarer. */
    private static boolean isOutlier(EndpointState endpoint, AttemptOutcome outcome) {
        endpoint.failureRate += EndpointState.FAILURE_GAIN * (1 - endpoint.failureRate);
        return endpoint.onProbation
                || (outcome != AttemptOutcome.FAILED && outcome != AttemptOutcome.RESET)
                || endpoint.failureRate > CHANCE_FAILURE_RATE;
    }

    /** Pauses an endpoint, longer after each failure; at the second in a row it loses all its slots. */
    private void eject(double nowMs, EndpointState endpoint) {
        endpoint.consecutiveFailures = Math.min(endpoint.consecutiveFailures + 1, MAX_DOUBLINGS);
        endpoint.probationAnswers = 0;
        if (!endpoint.onProbation) {
            endpoint.onProbation = true;
            state.probationCount++;
            state.counters.countEjected();
        }
        double pauseMs = state.settings.limits().connectTimeoutMs() * (1 << endpoint.consecutiveFailures);
        pool.pause(nowMs, endpoint, pauseMs);
        if (endpoint.consecutiveFailures > 1) {
            pool.discardAll(endpoint);
        }
    }

    private void recordRecovery(double nowMs, EndpointState endpoint) {
        if (!endpoint.onProbation) {
            endpoint.consecutiveFailures = 0;
        } else if (++endpoint.probationAnswers >= 1 << Math.min(endpoint.consecutiveFailures, MAX_RECOVERY_DOUBLINGS)) {
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

    void resetStatistics(EndpointState endpoint) {
        endProbation(endpoint);
        endpoint.resetStatistics();
    }
}
