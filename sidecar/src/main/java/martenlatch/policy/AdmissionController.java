package martenlatch.policy;

import java.util.List;
import martenlatch.numeric.TokenBucket;
import martenlatch.policy.api.*;

/** Decides which requests are admitted, by tenant quota, priority weight and concurrency limit. */
final class AdmissionController {

    private static final double PRIORITY_RESERVE = 0.2; // share of the limit reserved for higher priority weights
    private static final double OVER_QUOTA_SHARE = 0.6; // share of the limit available to requests over quota
    /** How long requests over quota are rejected after the rejection of a request within quota. */
    private static final double OVER_QUOTA_PAUSE_MS = 1000;

    /** Seconds of quota that a tenant may accumulate, because clients send requests in bursts. */
    private static final double QUOTA_BURST_S = 2;

    /** Headroom that requests over quota leave free; without it they would use up a limit of one or two requests. */
    private static final double OVER_QUOTA_HEADROOM = 0.5;

    private final BalancerState state;
    private final ConcurrencyLimiter limiter;
    private List<TokenBucket> quotas = List.of();
    private double withinQuotaRejectedMs = Double.NEGATIVE_INFINITY; // when a request within quota was last rejected
    private double lastAttemptEndMs; // when an attempt last ended
    private double lastAttemptDurationMs; // duration of that attempt

    AdmissionController(BalancerState state, ConcurrencyLimiter limiter) {
        this.state = state;
        this.limiter = limiter;
    }

    /** Creates token buckets for the tenants' quotas; each balancer gets an equal part of a quota. */
    void apply(BalancerSettings settings) {
        quotas = settings.tenants().stream()
                .map(tenant -> tenant.quotaPerSecond() / settings.balancerCount() / 1000)
                .map(requestsPerMs -> new TokenBucket(requestsPerMs, 1 + QUOTA_BURST_S * 1000 * requestsPerMs))
                .toList();
    }

    /** Returns whether a new request is admitted; its tenant's quota is charged even if it is rejected. */
    boolean admit(double nowMs, PendingRequest pending) {
        pending.withinQuota = state.settings.tier() > 0 || takeQuota(nowMs, pending.request.tenantIndex());
        boolean admitted = isWithinLimit(nowMs, pending);
        if (!admitted) {
            withinQuotaRejectedMs = pending.withinQuota ? nowMs : withinQuotaRejectedMs;
            state.counters.countRejected();
        }
        return admitted;
    }

    /** Records the end of an attempt, from which the pace below a limit of one request is computed. */
    void onAttemptFinished(double nowMs, double durationMs) {
        lastAttemptEndMs = nowMs;
        lastAttemptDurationMs = durationMs;
    }

    private boolean takeQuota(double nowMs, int tenant) {
        return tenant >= quotas.size() || quotas.get(tenant).tryTake(nowMs);
    }

    /**
     * Returns whether the limit admits the request. Only tier 0 sheds load: rejecting a request in a tier behind it
     * would waste the work that the tiers before have done for it.
     */
    private boolean isWithinLimit(double nowMs, PendingRequest pending) {
        if (state.settings.tier() > 0) {
            return state.inFlight < SlotPool.MAX_SLOTS;
        }
        double priority = pending.requestClass.priorityWeight() / state.settings.maxPriorityWeight();
        double share = (pending.withinQuota ? 1 : OVER_QUOTA_SHARE) * (1 - PRIORITY_RESERVE * (1 - priority));
        double maxInFlight = limiter.limit * share;
        if (pending.withinQuota) {
            return maxInFlight >= 1
                    ? state.inFlight < maxInFlight
                    : state.inFlight == 0 && nowMs >= nextRequestMs(maxInFlight);
        }
        return nowMs - withinQuotaRejectedMs >= OVER_QUOTA_PAUSE_MS
                && state.inFlight < maxInFlight - OVER_QUOTA_HEADROOM;
    }

    /**
     * Returns when the next request may start if the limit is below one. Pauses between attempts then keep the average
     * number in flight at the limit.
     */
    private double nextRequestMs(double maxInFlight) {
        return lastAttemptEndMs + lastAttemptDurationMs * (1 / maxInFlight - 1);
    }
}
