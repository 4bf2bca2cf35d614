package martenlatch.policy;

import java.util.*;

/** Selects the slot for an attempt: the lowest-ranked free slot that the request may use. */
final class SlotSelector {

    /** During congestion, the highest rank that new requests may use, as a multiple of the limit over all balancers. */
    private static final double MAX_CONGESTED_MULTIPLE = 2;

    private final BalancerState state;
    private final SlotPool pool;
    private final ConcurrencyLimiter limiter;
    /** For each endpoint that operators have enabled again: when it is due to get one request as a health check. */
    private final Map<String, Double> healthChecksDueMs = new LinkedHashMap<>();

    SlotSelector(BalancerState state, SlotPool pool, ConcurrencyLimiter limiter) {
        this.state = state;
        this.pool = pool;
        this.limiter = limiter;
    }

    /** Returns the slot for the request's next attempt, or null if there is none. */
    Slot select(double nowMs, PendingRequest pending) {
        Slot slot = pending.attempts.isEmpty() ? dueHealthCheck(nowMs, pending) : null;
        slot = slot != null
                ? slot
                : pool.lowestRankedUsable(s -> isAllowed(nowMs, pending, s) && isPreferred(pending, s.endpoint));
        return slot != null ? slot : pool.lowestRankedUsable(s -> isAllowed(nowMs, pending, s));
    }

    /**
     * Schedules one request to this endpoint regardless of rank. By rank alone an endpoint with high ranks would get
     * its first request late, and one in slow start later still.
     */
    void scheduleHealthCheck(EndpointState endpoint, double dueMs) {
        healthChecksDueMs.put(endpoint.id, dueMs);
    }

    /** Cancels the scheduled health checks of these endpoints. */
    void cancelHealthChecks(Set<String> endpoints) {
        healthChecksDueMs.keySet().removeAll(endpoints);
    }

    /**
     * Returns a slot of an endpoint whose health check is due, or null; a check that is no longer needed is dropped.
     */
    private Slot dueHealthCheck(double nowMs, PendingRequest pending) {
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
            } else if (slot != null && mayProbe(pending)) {
                checks.remove();
                return slot;
            }
        }
        return null;
    }

    /**
     * Returns whether the request may be the one that finds out whether an endpoint works. One that must not repeat may
     * do so only if no class is repeatable.
     */
    private boolean mayProbe(PendingRequest pending) {
        return !pending.requestClass.mustNotRepeat() || !state.settings.hasRepeatableClass();
    }

    /** Returns whether the request has not tried the endpoint and may use it in its present state of probation. */
    private boolean isPreferred(PendingRequest pending, EndpointState endpoint) {
        return (!endpoint.onProbation || mayProbe(pending)) && !pending.hasTried(endpoint);
    }

    /** Returns whether slow start, congestion and the deduplication scope allow this slot for the request. */
    private boolean isAllowed(double nowMs, PendingRequest pending, Slot slot) {
        return respectsSlowStart(nowMs, slot)
                && !(pending.attempts.isEmpty() && wouldCongest(slot))
                && (pending.firstPossiblyExecuted == null
                        || RetryPolicy.isInDeduplicationScope(pending, slot.endpoint));
    }

    /**
     * Returns whether the rank is low enough for an endpoint in slow start. A rank counts the requests of all
     * balancers, so that a bound on the rank bounds the load on the endpoint.
     */
    private boolean respectsSlowStart(double nowMs, Slot slot) {
        double capacity = state.slowStartCapacity(nowMs, slot.endpoint);
        if (capacity >= 1) {
            return true;
        }
        double weight = state.relativeWeight(slot.endpoint);
        double evenShare = state.settings.balancerCount() * weight / Math.max(1, state.readyCount);
        return pool.baseRank(slot) < capacity * Math.max(ConcurrencyLimiter.INITIAL_REQUESTS_PER_ENDPOINT, evenShare);
    }

    /**
     * Returns whether the slot's rank is too high to use during congestion. This prevents a cascade in which requests
     * that leave one congested endpoint congest the next one.
     */
    private boolean wouldCongest(Slot slot) {
        if (state.settings.tier() > 0 || limiter.congestion <= limiter.targetCongestion() / 2) {
            return false;
        }
        double limit = Math.max(1, limiter.limit);
        double maxRank = MAX_CONGESTED_MULTIPLE * limit * state.settings.balancerCount() / state.readyCount;
        return pool.baseRank(slot) >= Math.max(ConcurrencyLimiter.INITIAL_REQUESTS_PER_ENDPOINT, maxRank);
    }
}
