package martenlatch.policy;

import martenlatch.policy.PendingCall.Attempt;
import martenlatch.policy.api.*;

/** The limit on calls in flight, learned from how much of their latency objective answers take. */
final class ConcurrencyLimiter {

    static final double INITIAL_CALLS_PER_ENDPOINT = 4; // over all balancers: two for each of two cores
    private static final double MIN_CALLS_PER_ENDPOINT = 0.5; // over all balancers: recovery has to show
    private static final double TARGET_PRESSURE = 0.2; // share of the time from base time to objective
    private static final double MIN_TARGET_SHARE = 0.5; // the part of that target left where the limit is small
    private static final double AMPLE_LIMIT = 3; // the limit from which all of the target counts
    private static final double PRESSURE_GAIN = 1.0 / 16; // weight of a new outcome in the pressure
    private static final double CUT = 0.85; // factor on the limit at each cut
    private static final double HANG_GAPS = 4; // an endpoint silent for so many of its usual gaps hangs

    private final BalancerState state;
    private final LocalityRouting locality;
    double limit; // calls that may be in flight at once; 0 until the first endpoint list
    /** Moving average of the share of their objective that answers took beyond the base time. */
    double pressure;

    private double nextCutMs;
    private double quickGrowthUntil;

    ConcurrencyLimiter(BalancerState state, LocalityRouting locality) {
        this.state = state;
        this.locality = locality;
    }

    /** Sets the limit from the first endpoint list; later lists leave it to what is learned. */
    void initialize() {
        if (limit == 0) {
            double calls = INITIAL_CALLS_PER_ENDPOINT * state.readyCount / state.settings.balancerCount();
            limit = Math.min(SlotPool.MAX_SLOTS, Math.max(1, calls));
            quickGrowthUntil = 2 * limit;
        }
    }

    /** At a small limit answers are few, and one call more is a large step: it keeps further from the edge. */
    double targetPressure() {
        return TARGET_PRESSURE * Math.max(MIN_TARGET_SHARE, Math.min(1, limit / AMPLE_LIMIT));
    }

    /** Moves the limit by an outcome: down while answers take too much of the objective, else slowly up. */
    void onAttemptFinished(double nowMs, PendingCall call, Attempt attempt, AttemptResult result) {
        EndpointState endpoint = attempt.slot().endpoint;
        if (result.outcome() == AttemptOutcome.TIMED_OUT && hangs(nowMs, endpoint)) {
            return;
        }
        double sample = crowdingOf(call, result);
        locality.recordCrowding(endpoint, sample);
        if (result.outcome() == AttemptOutcome.OK) {
            endpoint.recordAnswer(nowMs, sample);
        } else if (result.outcome() == AttemptOutcome.TIMED_OUT && isLoneTimeout(endpoint, attempt)) {
            sample = Math.min(sample, endpoint.crowding);
        }
        // A balancer with few calls in flight has few answers a second: each has to count for more.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (sample - pressure);
        if (pressure > targetPressure()) {
            cut(nowMs, call);
        } else if (result.outcome() == AttemptOutcome.OK && state.inFlight * 2 >= limit) {
            grow();
        }
    }

    private double crowdingOf(PendingCall call, AttemptResult result) {
        double baseMs = call.latency.baseMs();
        double objectiveMs = call.requestClass.latencyObjectiveMs();
        double spareMs = Math.max(objectiveMs - baseMs, objectiveMs / 4);
        return switch (result.outcome()) {
            case OK, TIMED_OUT -> Math.max(0, Math.min(2, (result.durationMs() - baseMs) / spareMs));
            case REJECTED_QUEUE_FULL -> 1;
            default -> pressure;
        };
    }

    /** Whether its endpoint has since answered others fast: a lost answer shows no more crowding than those do. */
    private boolean isLoneTimeout(EndpointState endpoint, Attempt attempt) {
        return endpoint.lastAnswerMs > attempt.sentAtMs()
                && endpoint.crowding < targetPressure()
                && endpoint.inFlight <= Math.max(1, limit / state.readyCount);
    }

    /** Fewer calls help a crowded endpoint, which answers late, but not one that hangs and answers none. */
    private boolean hangs(double nowMs, EndpointState endpoint) {
        return endpoint.answerGapMs > 0
                && nowMs - endpoint.lastAnswerMs > HANG_GAPS * endpoint.answerGapMs
                && !state.suspectsSharedCause();
    }

    private void cut(double nowMs, PendingCall call) {
        if (nowMs >= nextCutMs) {
            limit = Math.max(MIN_CALLS_PER_ENDPOINT * growthStep(), Math.min(limit, state.peakInFlight + 1) * CUT);
            nextCutMs = nowMs + call.latency.typicalMs();
        }
    }

    private void grow() {
        boolean quick = limit < quickGrowthUntil && pressure < targetPressure() / 2;
        limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, (quick ? 1 : 1 / limit) * growthStep()));
    }

    /** This balancer's part of one call for each endpoint, at most one: all balancers together grow by that much. */
    private double growthStep() {
        return Math.min(1, (double) state.readyCount / state.settings.balancerCount());
    }
}
