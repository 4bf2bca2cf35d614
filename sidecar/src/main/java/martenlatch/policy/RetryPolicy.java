package martenlatch.policy;

import martenlatch.policy.api.*;

/** Decides whether and where a request may be retried, the time-out of each attempt, and what may be rejected. */
final class RetryPolicy {

    /** Retries for each request; more would multiply from tier to tier. */
    private static final double BUDGET_PER_REQUEST = 0.2;

    private static final double MAX_BUDGET = 10; // retries that may accumulate, for several endpoints failing at once
    /** Time-out of a repeatable attempt as a multiple of the tail latency. */
    private static final double TIMEOUT_TAIL_MULTIPLE = 1.5;
    /** Share of the deduplication window in which a retry may be sent; the rest allows for network delay. */
    private static final double USABLE_WINDOW_SHARE = 0.9;

    private final BalancerState state;
    private double budget = MAX_BUDGET; // retries available now

    RetryPolicy(BalancerState state) {
        this.state = state;
    }

    /** Adds a request's share to the retry budget. */
    void onRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /** Returns whether another attempt may follow one with this outcome; if so, charges it to the retry budget. */
    boolean mayRetry(double nowMs, PendingRequest pending, AttemptOutcome outcome) {
        boolean hasTime = pending.usefulUntilMs - nowMs >= pending.latency.typicalMs() / 2;
        if (pending.inFlight > 0 || pending.attempts.size() >= pending.maxAttempts || !hasTime) {
            return false;
        }
        // An attempt that was withdrawn is retried only if its endpoint is no longer ready or was removed.
        EndpointState lastEndpoint =
                pending.attempts.get(pending.attempts.size() - 1).slot().endpoint;
        boolean mayUseOtherEndpoint =
                outcome != AttemptOutcome.NOT_EXECUTED || lastEndpoint.removed || !lastEndpoint.isReady();
        if (!mayUseOtherEndpoint || !isSafe(nowMs, pending) || budget < 1) {
            return false;
        }
        budget--;
        return true;
    }

    /** Returns whether another attempt is safe: nothing was executed, or repeats are harmless or still deduplicated. */
    private static boolean isSafe(double nowMs, PendingRequest pending) {
        if (pending.firstPossiblyExecuted == null || pending.requestClass.isIdempotent()) {
            return true;
        }
        return pending.requestClass.usesIdempotencyKey()
                && nowMs - pending.firstPossiblyExecuted.sentAtMs()
                        < pending.requestClass.deduplicationWindowMs() * USABLE_WINDOW_SHARE;
    }

    /** Returns whether the endpoint is in the deduplication scope that knows the first execution of the request. */
    static boolean isInDeduplicationScope(PendingRequest pending, EndpointState endpoint) {
        Endpoint first = pending.firstPossiblyExecuted.slot().endpoint.effective;
        return !pending.requestClass.usesIdempotencyKey()
                || switch (pending.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> first.zone() == endpoint.effective.zone();
                    case CELL -> first.cell() == endpoint.effective.cell();
                };
    }

    /** Returns whether the client may be told that it can safely retry the request. */
    static boolean mayReject(PendingRequest pending) {
        boolean isDeduplicatedAnywhere = pending.requestClass.usesIdempotencyKey()
                && pending.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean mayRepeat = pending.requestClass.isIdempotent() || isDeduplicatedAnywhere;
        return (pending.firstPossiblyExecuted == null && pending.inFlight == 0) || mayRepeat;
    }

    /** Returns the time-out of the next attempt; a repeatable one leaves time for a retry if its endpoint is hung. */
    double attemptTimeoutMs(double nowMs, PendingRequest pending) {
        double remainingMs = pending.usefulUntilMs - nowMs;
        if (!pending.requestClass.mustNotRepeat() && pending.attempts.size() + 1 < pending.maxAttempts) {
            double shortTimeoutMs = Math.max(
                    pending.latency.tailMs() * TIMEOUT_TAIL_MULTIPLE,
                    state.settings.limits().connectTimeoutMs());
            if (remainingMs - shortTimeoutMs > pending.latency.typicalMs()) {
                return shortTimeoutMs;
            }
        }
        return remainingMs;
    }
}
