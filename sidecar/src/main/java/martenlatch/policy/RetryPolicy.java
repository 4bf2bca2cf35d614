package martenlatch.policy;

import martenlatch.policy.api.*;

/** Decides whether and where another attempt may run, how long an attempt is waited for, and what may be rejected. */
final class RetryPolicy {

    private static final double BUDGET_PER_CALL = 0.2; // more retries would multiply from tier to tier
    private static final double MAX_BUDGET = 10; // saved up for several endpoints failing at once
    private static final double TAIL_MULTIPLE = 1.5; // of the tail time: how long a repeatable attempt may take
    private static final double WINDOW_SHARE = 0.9; // of the deduplication window: the rest is for the way

    private final BalancerState state;
    private double budget = MAX_BUDGET;

    RetryPolicy(BalancerState state) {
        this.state = state;
    }

    void onRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_CALL);
    }

    /** Whether another attempt may follow one that ended so; if yes, it is charged to the budget. */
    boolean mayRetry(double nowMs, PendingCall call, AttemptOutcome outcome) {
        boolean hasTime = call.usefulUntilMs - nowMs >= call.latency.typicalMs() / 2;
        if (call.inFlight > 0 || call.attempts.size() >= call.maxAttempts || !hasTime) {
            return false;
        }
        // What was not executed may go elsewhere only if its endpoint has begun to drain in the meantime.
        EndpointState last = call.attempts.get(call.attempts.size() - 1).slot().endpoint;
        boolean mayGoElsewhere = outcome != AttemptOutcome.NOT_EXECUTED || last.removed || !last.isReady();
        if (!mayGoElsewhere || !isSafe(nowMs, call) || budget < 1) {
            return false;
        }
        budget--;
        return true;
    }

    private static boolean isSafe(double nowMs, PendingCall call) {
        if (call.mayHaveExecuted == null || call.requestClass.isIdempotent()) {
            return true;
        }
        return call.requestClass.usesIdempotencyKey()
                && nowMs - call.mayHaveExecuted.sentAtMs() < call.requestClass.deduplicationWindowMs() * WINDOW_SHARE;
    }

    /** Only the scope that remembers the first execution of an idempotency key drops its repeat. */
    static boolean isInDeduplicationScope(PendingCall call, EndpointState endpoint) {
        Endpoint first = call.mayHaveExecuted.slot().endpoint.effective;
        return !call.requestClass.usesIdempotencyKey()
                || switch (call.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> first.zone() == endpoint.effective.zone();
                    case CELL -> first.cell() == endpoint.effective.cell();
                };
    }

    /** Whether a client may be told that repeating the call does no harm. */
    static boolean mayReject(PendingCall call) {
        boolean isDeduplicatedAnywhere = call.requestClass.usesIdempotencyKey()
                && call.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean mayRepeat = call.requestClass.isIdempotent() || isDeduplicatedAnywhere;
        return (call.mayHaveExecuted == null && call.inFlight == 0) || mayRepeat;
    }

    /** The time-out of the next attempt: an endpoint that hangs must not use up the time of another attempt. */
    double attemptTimeoutMs(double nowMs, PendingCall call) {
        double remainingMs = call.usefulUntilMs - nowMs;
        if (!call.requestClass.mustNotRepeat() && call.attempts.size() + 1 < call.maxAttempts) {
            double patienceMs = Math.max(
                    call.latency.tailMs() * TAIL_MULTIPLE,
                    state.settings.limits().connectTimeoutMs());
            if (remainingMs - patienceMs > call.latency.typicalMs()) {
                return patienceMs;
            }
        }
        return remainingMs;
    }
}
