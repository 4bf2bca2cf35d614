package martenlatch.policy;

import java.util.List;
import martenlatch.numeric.TokenBucket;
import martenlatch.policy.api.*;

/** Decides which calls are admitted: tenants' quotas, priority, and the concurrency limit. */
final class AdmissionController {

    private static final double PRIORITY_RESERVE = 0.2; // share of the limit reserved for a higher priority weight
    private static final double BEYOND_QUOTA_SHARE = 0.6; // share of the limit for calls beyond their quota
    private static final double QUOTA_FIRST_MS = 1000; // pause for calls beyond quota after a rejection within quota
    private static final double QUOTA_SAVINGS_S = 2; // quota that a tenant may save up: clients come in bursts
    private static final double BEYOND_QUOTA_ROOM = 0.5; // else a flood would take a limit of one or two calls

    private final BalancerState state;
    private final ConcurrencyLimiter limiter;
    private List<TokenBucket> quotas = List.of();
    private double quotaRejectedMs = Double.NEGATIVE_INFINITY; // when a call within its quota was last rejected
    private double lastEndMs; // when an attempt last ended
    private double lastDurationMs; // how long that attempt took

    AdmissionController(BalancerState state, ConcurrencyLimiter limiter) {
        this.state = state;
        this.limiter = limiter;
    }

    void apply(BalancerSettings settings) {
        quotas = settings.tenants().stream()
                .map(tenant -> tenant.quotaPerSecond() / settings.balancerCount() / 1000)
                .map(perMs -> new TokenBucket(perMs, 1 + QUOTA_SAVINGS_S * 1000 * perMs))
                .toList();
    }

    /** Whether a new call is admitted; its tenant's quota is charged in any case. */
    boolean admit(double nowMs, PendingCall call) {
        call.withinQuota = state.settings.tier() > 0 || takeQuota(nowMs, call.request.tenantIndex());
        boolean admitted = fitsLimit(nowMs, call);
        if (!admitted) {
            quotaRejectedMs = call.withinQuota ? nowMs : quotaRejectedMs;
            state.counters.countRejected();
        }
        return admitted;
    }

    void onAttemptFinished(double nowMs, double durationMs) {
        lastEndMs = nowMs;
        lastDurationMs = durationMs;
    }

    private boolean takeQuota(double nowMs, int tenant) {
        return tenant >= quotas.size() || quotas.get(tenant).tryTake(nowMs);
    }

    /** Lower tiers do not shed load: a call there carries work done in the tiers above. */
    private boolean fitsLimit(double nowMs, PendingCall call) {
        if (state.settings.tier() > 0) {
            return state.inFlight < SlotPool.MAX_SLOTS;
        }
        double priority = call.requestClass.priorityWeight() / state.settings.maxPriorityWeight();
        double share = (call.withinQuota ? 1 : BEYOND_QUOTA_SHARE) * (1 - PRIORITY_RESERVE * (1 - priority));
        double maxInFlight = limiter.limit * share;
        if (call.withinQuota) {
            return maxInFlight >= 1
                    ? state.inFlight < maxInFlight
                    : state.inFlight == 0 && nowMs >= nextCallMs(maxInFlight);
        }
        return nowMs - quotaRejectedMs >= QUOTA_FIRST_MS && state.inFlight < maxInFlight - BEYOND_QUOTA_ROOM;
    }

    /** A limit below one call is a pace: pauses after attempts keep that part of a call in flight on average. */
    private double nextCallMs(double maxInFlight) {
        return lastEndMs + lastDurationMs * (1 / maxInFlight - 1);
    }
}
