// The types, events and actions of the decisions are declared in martenlatch.policy.api, one file each.
package martenlatch.policy;

import java.util.*;
import martenlatch.numeric.LatencyEstimator;
import martenlatch.policy.PendingCall.Attempt;
import martenlatch.policy.api.*;

/**
 * One load balancer after Boxcar: a bounded pool of ranked slots on endpoints. Every call takes the lowest-ranked
 * free slot; a failed attempt discards its slot, and the call goes on to the next best one within bounds; calls
 * beyond the concurrency limit are rejected. Single-threaded; time comes with the events, in milliseconds.
 */
public final class LoadBalancer implements BalancerEvents {

    private static final double MAX_SLOWNESS = 8; // as a multiple of the typical time
    private static final double TYPICAL_GAIN = 1.0 / 32; // weight of a sample in the typical answer time
    private static final double TAIL_SHARE = 0.03; // of the answers exceeds the tail time of a class
    private static final double TAIL_GAIN = 0.1; // how fast the tail time is learned
    private static final int BASE_SAMPLES = 16; // answers averaged for one sample of the base time of a class
    private static final double BASE_RISE = 1.02; // the largest factor on the base time at each sample

    private static final long POLL_TIMER = 1; // the name of the timer for the next poll of the endpoint list

    private final BalancerActions actions;
    private final SplittableRandom random;
    private final EndpointListPolling polling;
    private final BalancerState state = new BalancerState();
    private final LocalityRouting locality = new LocalityRouting(state);
    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter(state, locality);
    private final AdmissionController admission = new AdmissionController(state, limiter);
    private final RetryPolicy retries = new RetryPolicy(state);
    private final SlotPool pool;
    private final SlotSelector selector;
    private final OutlierDetector outliers;
    private final EndpointRegistry registry;
    private final Map<String, PendingCall> calls = new HashMap<>();
    private final Map<String, LatencyEstimator> latencies = new HashMap<>(); // by name of class

    private double nextRefillMs;

    /** Creates a load balancer that knows no endpoint yet; the seed makes its random choices repeatable. */
    public LoadBalancer(BalancerSettings settings, long seed, BalancerActions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
        polling = new EndpointListPolling(random);
        pool = new SlotPool(state, locality, actions);
        selector = new SlotSelector(state, pool, limiter);
        outliers = new OutlierDetector(state, pool, actions);
        registry = new EndpointRegistry(state, pool, outliers);
        apply(settings);
        if (settings.pollsEndpointList()) {
            actions.scheduleTimer(polling.delayAtStart(settings), POLL_TIMER);
        }
    }

    /** Takes over settings; what was learned about a class stays with its name. */
    private void apply(BalancerSettings next) {
        next.classes().forEach(each -> latencies.computeIfAbsent(each.name(), name -> newEstimator(each)));
        List<String> names = next.classes().stream().map(RequestClass::name).toList();
        latencies.keySet().retainAll(names);
        state.settings = next;
        admission.apply(next);
    }

    private static LatencyEstimator newEstimator(RequestClass requestClass) {
        double objectiveMs = requestClass.latencyObjectiveMs();
        return new LatencyEstimator(
                objectiveMs / 4, objectiveMs, TYPICAL_GAIN, TAIL_SHARE, TAIL_GAIN, BASE_SAMPLES, BASE_RISE);
    }

    /** The number of requests that have no final answer yet, or still have an attempt in flight. */
    public int pendingCalls() {
        return calls.size();
    }

    int knownEndpoints() {
        return state.endpoints.size();
    }

    @Override
    public void onRequest(double nowMs, Request request) {
        state.settings.requireValid(request);
        if (calls.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is in flight already");
        }
        refillWhenDue(nowMs);
        LatencyEstimator latency =
                latencies.get(state.settings.classes().get(request.classIndex()).name());
        PendingCall call = new PendingCall(nowMs, request, state.settings, latency);
        calls.put(request.id(), call);
        locality.recordDemand(latency.baseMs());
        retries.onRequest();
        if (!admission.admit(nowMs, call) || !forward(nowMs, call)) {
            answer(call);
        }
    }

    /** Sends the call's next attempt; false if there is no slot for it. */
    private boolean forward(double nowMs, PendingCall call) {
        Slot slot = selector.select(nowMs, call);
        if (slot == null) {
            return false;
        }
        pool.addToPool(nowMs, slot);
        double timeoutMs = retries.attemptTimeoutMs(nowMs, call);
        call.attempts.add(new Attempt(slot, nowMs));
        call.inFlight++;
        slot.busy = true;
        slot.endpoint.inFlight++;
        state.inFlight++;
        state.peakInFlight = Math.max(state.peakInFlight, state.inFlight);
        actions.forward(call.request.id(), slot.endpoint.id, timeoutMs);
        return true;
    }

    /** The final answer of a call that cannot be served: a rejection where repeating it is safe, else a failure. */
    private void answer(PendingCall call) {
        call.answered = true;
        if (RetryPolicy.mayReject(call)) {
            // Sent with every rejection, also where few clients are said to heed it: it costs nothing.
            actions.reject(call.request.id(), state.settings.limits().maxRetryAfterMs() / 4);
        } else {
            actions.fail(call.request.id());
        }
        removeIfOver(call);
    }

    private void removeIfOver(PendingCall call) {
        if (call.answered && call.inFlight == 0) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void onAttemptFinished(double nowMs, AttemptResult result) {
        refillWhenDue(nowMs);
        PendingCall call = calls.get(result.requestId());
        if (call == null || !call.isInFlight(result.attempt())) {
            return;
        }
        Attempt attempt = call.attempts.get(result.attempt());
        call.ended.set(result.attempt());
        call.inFlight--;
        if (!result.outcome().neverExecuted() && call.mayHaveExecuted == null) {
            call.mayHaveExecuted = attempt;
        }
        admission.onAttemptFinished(nowMs, result.durationMs());
        learn(nowMs, call, attempt.slot().endpoint, result);
        limiter.onAttemptFinished(nowMs, call, attempt, result);
        outliers.onAttemptFinished(nowMs, attempt.slot(), result.outcome(), isFailure(call, result));
        registry.removeIfGone(nowMs, attempt.slot().endpoint);
        if (result.answered()) {
            call.answered = true;
        } else if (!call.answered && !(retries.mayRetry(nowMs, call, result.outcome()) && forward(nowMs, call))) {
            answer(call);
        }
        removeIfOver(call);
    }

    /** Whether an outcome speaks against the endpoint: a time-out does so only after a long wait. */
    private static boolean isFailure(PendingCall call, AttemptResult result) {
        return switch (result.outcome()) {
            case FAILED, CONNECT_ERROR, RESET -> true;
            case TIMED_OUT -> result.durationMs() >= call.latency.tailMs();
            default -> false;
        };
    }

    private void learn(double nowMs, PendingCall call, EndpointState endpoint, AttemptResult result) {
        boolean ok = result.outcome() == AttemptOutcome.OK;
        if (!ok && result.outcome() != AttemptOutcome.TIMED_OUT) {
            return;
        }
        call.latency.recordTail(result.durationMs(), call.requestClass.deadlineMs());
        if (state.warmCapacity(nowMs, endpoint) >= 1) {
            double multiple = Math.min(result.durationMs() / call.latency.typicalMs(), MAX_SLOWNESS);
            endpoint.slowness += EndpointState.SLOWNESS_GAIN * (multiple - endpoint.slowness);
            pool.updateCost(nowMs, endpoint, false);
        }
        if (ok) {
            call.latency.recordSample(result.durationMs());
        }
    }

    @Override
    public void onStreamStarted(double nowMs, String requestId, int attempt) {
        refillWhenDue(nowMs);
        PendingCall call = calls.get(requestId);
        if (call != null) {
            call.answered = true;
        }
    }

    @Override
    public void onClientDisconnected(double nowMs, String requestId) {
        refillWhenDue(nowMs);
        PendingCall call = calls.get(requestId);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && state.settings.limits().cancellation(); i++) {
            if (call.isInFlight(i)) {
                actions.cancelAttempt(requestId, i);
            }
        }
        removeIfOver(call);
    }

    private void refillWhenDue(double nowMs) {
        if (nowMs >= nextRefillMs) {
            nextRefillMs = nowMs + state.refillPauseMs();
            locality.update(nowMs);
            state.counters
                    .takeReport(nowMs, state.settings.tier(), limiter.limit, state.probationCount, state.readyCount)
                    .ifPresent(actions::report);
            pool.refill(nowMs);
        }
    }

    @Override
    public void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> entries) {
        if (kind == EndpointListKind.FAILED) {
            actions.scheduleTimer(polling.delayAfterFailure(nowMs, state.settings), POLL_TIMER);
            return;
        }
        if (kind != EndpointListKind.CACHED) {
            polling.onList();
        }
        registry.applyList(nowMs, kind, entries);
        limiter.initialize();
    }

    @Override
    public void onPollCompleted(double nowMs) {
        actions.scheduleTimer(polling.delayAfterFirstList(nowMs, state.settings), POLL_TIMER);
    }

    @Override
    public void onDiscoveryMoved(double nowMs) {
        actions.scheduleTimer(polling.delayAfterMove(nowMs, state.settings), POLL_TIMER);
    }

    @Override
    public void onEndpointsDisabled(double nowMs, Set<String> endpoints) {
        selector.cancelHealthChecks(endpoints);
        // In this time one call of each balancer takes half of what an endpoint in slow start may get from all.
        double longestTypicalMs = latencies.values().stream()
                .mapToDouble(LatencyEstimator::typicalMs)
                .max()
                .orElse(0);
        EndpointRules rules = state.settings.rules();
        double overloadShare = rules.slowStartInitialShare() * rules.overloadMultiple();
        double withinMs = 2 * state.settings.balancerCount() * longestTypicalMs / overloadShare;
        for (EndpointState enabled : registry.setDisabled(nowMs, endpoints)) {
            selector.scheduleHealthCheck(enabled, nowMs + withinMs * random.nextDouble());
        }
        limiter.initialize();
    }

    @Override
    public void onSettingsChanged(double nowMs, BalancerSettings next) {
        apply(next);
        registry.recount(nowMs);
        limiter.initialize();
    }

    @Override
    public void onTimer(double nowMs, long name) {
        refillWhenDue(nowMs);
        if (name == POLL_TIMER && polling.takeDuePoll(nowMs)) {
            actions.pollEndpointList();
        }
    }
}
