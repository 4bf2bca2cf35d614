package martenlatch.policy;

import java.util.*;

/** Chooses the slot for an attempt: the lowest-ranked free one that the call may use. */
final class SlotSelector {

    private static final double MAX_CROWDING_MULTIPLE = 2; // of what the limit stands for, while answers are slow

    private final BalancerState state;
    private final SlotPool pool;
    private final ConcurrencyLimiter limiter;
    /** Endpoints put back into service by hand: when each is due to get one call as its health check. */
    private final Map<String, Double> healthChecksDueMs = new LinkedHashMap<>();

    SlotSelector(BalancerState state, SlotPool pool, ConcurrencyLimiter limiter) {
        this.state = state;
        this.pool = pool;
        this.limiter = limiter;
    }

    /** The slot for the call's next attempt, or null if there is none. */
    Slot select(double nowMs, PendingCall call) {
        Slot slot = call.attempts.isEmpty() ? dueHealthCheck(nowMs, call) : null;
        slot = slot != null ? slot : pool.firstUsable(s -> isAllowed(nowMs, call, s) && isPreferred(call, s.endpoint));
        return slot != null ? slot : pool.firstUsable(s -> isAllowed(nowMs, call, s));
    }

    /** One call is to go to this endpoint, out of turn: high ranks are used late, those in slow start later still. */
    void scheduleHealthCheck(EndpointState endpoint, double dueMs) {
        healthChecksDueMs.put(endpoint.id, dueMs);
    }

    void cancelHealthChecks(Set<String> endpoints) {
        healthChecksDueMs.keySet().removeAll(endpoints);
    }

    private Slot dueHealthCheck(double nowMs, PendingCall call) {
        Iterator<Map.Entry<String, Double>> checks =
                healthChecksDueMs.entrySet().iterator();
        while (checks.hasNext()) {
            Map.Entry<String, Double> check = checks.next();
            EndpointState endpoint = state.endpoints.get(check.getKey());
            if (endpoint == null || !endpoint.isReady() || nowMs < check.getValue()) {
                continue;
            }
            Slot slot = pool.anySlotOf(endpoint);
            if (endpoint.inFlight > 0) {
                checks.remove();
            } else if (slot != null && mayExplore(call)) {
                checks.remove();
                return slot;
            }
        }
        return null;
    }

    /** A call that can't be repeated must not be the one to find out whether an endpoint works. */
    private boolean mayExplore(PendingCall call) {
        return !call.requestClass.mustNotRepeat() || !state.settings.anyRepeatable();
    }

    private boolean isPreferred(PendingCall call, EndpointState endpoint) {
        return (!endpoint.onProbation || mayExplore(call)) && !call.hasTried(endpoint);
    }

    private boolean isAllowed(double nowMs, PendingCall call, Slot slot) {
        return respectsSlowStart(nowMs, slot)
                && !(call.attempts.isEmpty() && wouldCrowd(slot))
                && (call.mayHaveExecuted == null || RetryPolicy.isInDeduplicationScope(call, slot.endpoint));
    }

    /** Ranks count the calls of all balancers: low ranks alone do not overload an endpoint in slow start. */
    private boolean respectsSlowStart(double nowMs, Slot slot) {
        double capacity = state.warmCapacity(nowMs, slot.endpoint);
        if (capacity >= 1) {
            return true;
        }
        double weight = state.relativeWeight(slot.endpoint);
        double evenShare = state.settings.balancerCount() * weight / Math.max(1, state.readyCount);
        return pool.baseRank(slot) < capacity * Math.max(ConcurrencyLimiter.INITIAL_CALLS_PER_ENDPOINT, evenShare);
    }

    /** Guards against a cascade: calls that leave an endpoint crowded by all balancers must not crowd the next. */
    private boolean wouldCrowd(Slot slot) {
        if (state.settings.tier() > 0 || limiter.pressure <= limiter.targetPressure() / 2) {
            return false;
        }
        double limit = Math.max(1, limiter.limit);
        double maxCalls = MAX_CROWDING_MULTIPLE * limit * state.settings.balancerCount() / state.readyCount;
        return pool.baseRank(slot) >= Math.max(ConcurrencyLimiter.INITIAL_CALLS_PER_ENDPOINT, maxCalls);
    }
}
