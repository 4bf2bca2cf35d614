// Settings, events and actions of the load balancer are declared in martenlatch.policy.api, one type per file.
package martenlatch.policy;

import java.util.*;
import martenlatch.numeric.LatencyEstimator;
import martenlatch.policy.PendingRequest.Attempt;
import martenlatch.policy.api.*;

/**
 * A load balancer that implements the Boxcar algorithm with a bounded pool of ranked slots on endpoints. Every request
 * takes the lowest-ranked free slot. A failed attempt discards its slot, and the request is retried on the next slot
 * within the retry limits. Requests beyond the concurrency limit are rejected. This class is not thread-safe, and it
 * reads no clock: every event carries the current time in milliseconds.
 *
 * <p>In this package an endpoint sends a <em>response</em> to an attempt, and the client gets one final <em>answer</em>
 * to its request.
 */
public final class LoadBalancer implements BalancerEvents {

    private static final double MAX_SLOWNESS_SAMPLE = 8; // limit for one sample, as a multiple of the typical latency
    private static final double TYPICAL_GAIN = 1.0 / 32; // weight of a sample in the typical latency
    private static final double TAIL_SHARE = 0.03; // share of the responses that exceed the tail latency of a class
    private static final double TAIL_GAIN = 0.1; // step by which a sample moves the tail latency
    private static final int BASE_SAMPLES = 16; // responses averaged for one sample of the base latency
    private static final double MAX_BASE_RISE = 1.02; // largest factor by which one sample raises the base latency

    private static final long POLL_TIMER = 1; // name of the timer for the next poll of the endpoint list
    private static final long HELD_TIMER = 2; // name of the timers for requests that are held

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
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<String, LatencyEstimator> latencies = new HashMap<>(); // by class name

    private final HeldRequests held = new HeldRequests();
    private ForwardingMode forwarding = ForwardingMode.FORWARD;
    private double nextRefillMs;

    /** Creates a load balancer without endpoints; the same seed gives the same random choices. */
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

    /** Applies settings; a class that keeps its name keeps its latency estimates. */
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
                objectiveMs / 4, objectiveMs, TYPICAL_GAIN, TAIL_SHARE, TAIL_GAIN, BASE_SAMPLES, MAX_BASE_RISE);
    }

    /** Returns the number of requests that have no final answer yet or still have an attempt in flight. */
    public int pendingRequests() {
        return pendingRequests.size();
    }

    int knownEndpoints() {
        return state.endpoints.size();
    }

    @Override
    public void onRequest(double nowMs, Request request) {
        state.settings.requireValid(request);
        if (pendingRequests.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is in flight already");
        }
        refillIfDue(nowMs);
        LatencyEstimator latency =
                latencies.get(state.settings.classes().get(request.classIndex()).name());
        PendingRequest pending = new PendingRequest(nowMs, request, state.settings, latency);
        pendingRequests.put(request.id(), pending);
        locality.recordDemand(latency.baseMs());
        retries.onRequest();
        switch (forwarding) {
            case HOLD -> actions.scheduleTimer(held.add(nowMs, pending), HELD_TIMER);
            case REJECT -> rejectOrFail(pending);
            default -> admit(nowMs, pending);
        }
    }

    private void admit(double nowMs, PendingRequest pending) {
        if (!admission.admit(nowMs, pending) || !forward(nowMs, pending)) {
            rejectOrFail(pending);
        }
    }

    /** Sends the request's next attempt; returns false if none may be sent or no slot is available. */
    private boolean forward(double nowMs, PendingRequest pending) {
        Slot slot = forwarding == ForwardingMode.FORWARD ? selector.select(nowMs, pending) : null;
        if (slot == null) {
            return false;
        }
        pool.addToPool(nowMs, slot);
        double timeoutMs = retries.attemptTimeoutMs(nowMs, pending);
        pending.attempts.add(new Attempt(slot, nowMs));
        pending.inFlight++;
        slot.busy = true;
        slot.endpoint.inFlight++;
        state.inFlight++;
        state.peakInFlight = Math.max(state.peakInFlight, state.inFlight);
        actions.forward(pending.request.id(), slot.endpoint.id, timeoutMs);
        return true;
    }

    /**
     * Ends a request that cannot be served: with a rejection if the client may safely retry it, else with a failure.
     */
    private void rejectOrFail(PendingRequest pending) {
        pending.answered = true;
        if (RetryPolicy.mayReject(pending)) {
            // Every rejection carries a retry delay, because it costs nothing even if few clients honour it.
            actions.reject(pending.request.id(), state.settings.limits().maxRetryAfterMs() / 4);
        } else {
            actions.fail(pending.request.id());
        }
        removeIfComplete(pending);
    }

    /** Removes a request that has its final answer and no attempt in flight. */
    private void removeIfComplete(PendingRequest pending) {
        if (pending.answered && pending.inFlight == 0) {
            pendingRequests.remove(pending.request.id());
        }
    }

    @Override
    public void onAttemptFinished(double nowMs, AttemptResult result) {
        refillIfDue(nowMs);
        PendingRequest pending = pendingRequests.get(result.requestId());
        if (pending == null || !pending.isInFlight(result.attempt())) {
            return;
        }
        Attempt attempt = pending.attempts.get(result.attempt());
        pending.endedAttempts.set(result.attempt());
        pending.inFlight--;
        if (!result.outcome().neverExecuted() && pending.firstPossiblyExecuted == null) {
            pending.firstPossiblyExecuted = attempt;
        }
        admission.onAttemptFinished(nowMs, result.durationMs());
        recordLatency(nowMs, pending, attempt.slot().endpoint, result);
        limiter.onAttemptFinished(nowMs, pending, attempt, result);
        boolean responseComplete = !pending.begunResponses.get(result.attempt());
        outliers.onAttemptFinished(
                nowMs, attempt.slot(), result.outcome(), pending.isFailure(result), responseComplete);
        registry.removeIfGone(nowMs, attempt.slot().endpoint);
        if (result.answered()) {
            pending.answered = true;
        } else if (!pending.answered
                && !(retries.mayRetry(nowMs, pending, result.outcome()) && forward(nowMs, pending))) {
            rejectOrFail(pending);
        }
        removeIfComplete(pending);
    }

    /** Updates the latency estimates of the request's class and the endpoint's slowness with a response or time-out. */
    private void recordLatency(double nowMs, PendingRequest pending, EndpointState endpoint, AttemptResult result) {
        boolean ok = result.outcome() == AttemptOutcome.OK;
        if (!ok && result.outcome() != AttemptOutcome.TIMED_OUT) {
            return;
        }
        pending.latency.recordTail(result.durationMs(), pending.requestClass.deadlineMs());
        if (state.slowStartCapacity(nowMs, endpoint) >= 1) {
            double slownessSample = Math.min(result.durationMs() / pending.latency.typicalMs(), MAX_SLOWNESS_SAMPLE);
            endpoint.slowness += EndpointState.SLOWNESS_GAIN * (slownessSample - endpoint.slowness);
            pool.updateCost(nowMs, endpoint, false);
        }
        if (ok) {
            pending.latency.recordSample(result.durationMs());
        }
    }

    @Override
    public void onStreamStarted(double nowMs, String requestId, int attempt) {
        refillIfDue(nowMs);
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending != null) {
            pending.answered = true;
        }
    }

    @Override
    public void onResponseBegun(double nowMs, String requestId, int attempt) {
        refillIfDue(nowMs);
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending != null) {
            pending.begunResponses.set(attempt);
        }
    }

    @Override
    public void onResponseEnded(double nowMs, String endpointId, boolean complete) {
        refillIfDue(nowMs);
        EndpointState endpoint = state.endpoints.get(endpointId);
        if (endpoint != null) {
            outliers.onResponseEnded(nowMs, endpoint, complete);
        }
    }

    @Override
    public void onClientDisconnected(double nowMs, String requestId) {
        refillIfDue(nowMs);
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending == null) {
            return;
        }
        pending.answered = true;
        held.remove(pending);
        // Cancelling spares the endpoints work on requests whose client has gone.
        for (int i = 0; i < pending.attempts.size() && state.settings.limits().cancellation(); i++) {
            if (pending.isInFlight(i)) {
                actions.cancelAttempt(requestId, i);
            }
        }
        removeIfComplete(pending);
    }

    /** Reports overload, updates the locality preference and refills the pool, once per refill interval. */
    private void refillIfDue(double nowMs) {
        if (nowMs >= nextRefillMs) {
            nextRefillMs = nowMs + state.refillIntervalMs();
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
            onPollFailed(nowMs, PollFailure.REJECTED, 0);
            return;
        }
        if (kind != EndpointListKind.CACHED) {
            polling.onList();
        }
        registry.applyList(nowMs, kind, entries);
        limiter.initialize();
    }

    @Override
    public void onPollCompleted(double nowMs, double listAgeMs) {
        actions.scheduleTimer(polling.delayAfterFirstList(nowMs, listAgeMs, state.settings), POLL_TIMER);
    }

    @Override
    public void onPollFailed(double nowMs, PollFailure failure, double listAgeMs) {
        actions.scheduleTimer(polling.delayAfterFailure(nowMs, failure, listAgeMs, state.settings), POLL_TIMER);
    }

    @Override
    public void onDiscoveryMoved(double nowMs, double listAgeMs) {
        actions.scheduleTimer(polling.delayAfterMove(nowMs, listAgeMs, state.settings), POLL_TIMER);
    }

    @Override
    public void onEndpointsDisabled(double nowMs, Set<String> endpoints) {
        selector.cancelHealthChecks(endpoints);
        // Over this time, one request from each balancer uses half of the load that an endpoint in slow start can take.
        double longestTypicalMs = latencies.values().stream()
                .mapToDouble(LatencyEstimator::typicalMs)
                .max()
                .orElse(0);
        EndpointRules rules = state.settings.rules();
        double overloadShare = rules.slowStartInitialShare() * rules.overloadMultiple();
        double checkWindowMs = 2 * state.settings.balancerCount() * longestTypicalMs / overloadShare;
        for (EndpointState reenabled : registry.setDisabled(nowMs, endpoints)) {
            selector.scheduleHealthCheck(reenabled, nowMs + checkWindowMs * random.nextDouble());
        }
        limiter.initialize();
    }

    @Override
    public void onForwardingChanged(double nowMs, ForwardingMode mode) {
        refillIfDue(nowMs);
        forwarding = mode;
        if (mode == ForwardingMode.FORWARD) {
            held.takeAll().forEach(pending -> admit(nowMs, pending));
        }
    }

    @Override
    public void onSettingsChanged(double nowMs, BalancerSettings next) {
        apply(next);
        registry.recount(nowMs);
        limiter.initialize();
    }

    @Override
    public void onTimer(double nowMs, long name) {
        refillIfDue(nowMs);
        if (name == HELD_TIMER) {
            held.takeExpired(nowMs).forEach(this::rejectOrFail);
        } else if (name == POLL_TIMER && polling.takeDuePoll(nowMs)) {
            actions.pollEndpointList();
        }
    }
}
