package martenlatch.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenlatch.policy.LoadBalancer;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.BalancerEvents;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.ForwardingMode;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.OverloadReport;
import martenlatch.policy.api.PollFailure;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RequestObserver.Conclusion;
import martenlatch.request.Transport.ResponseProgress;
import martenlatch.request.UnservedRequestLog.Reason;
import martenlatch.request.UnservedRequestLog.StreamedRequest;

/**
 * Hosts the load balancer and keeps the table of pending requests and their attempts. It executes the balancer's
 * decisions, reports their results to it, and guarantees that each request gets exactly one final answer.
 */
public final class RequestTracker implements BalancerActions, EndpointList.Listener {

    /** The time after its deadline at which a request fails if the balancer has not concluded it. */
    private static final double DEADLINE_SLACK_MS = 5;
    /** A response is not begun at its deadline if the process ends within this time, which would cut it. */
    private static final double MIN_STREAMING_MS = 100;
    /** The delay before the local agent is polled again after a failed poll, used if lists are pushed. */
    private static final int PUSHED_LIST_RETRY_MS = 100;

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final UnservedRequestLog unservedRequests;
    private final StreamedResponses streamedResponses;
    private final EndpointConnections connections;
    /** Starts a poll of the endpoint list, or a watch if its version is known. */
    private final Runnable pollEndpointList;

    private final RequestObserver observer;
    private final BalancerEvents balancer;
    private final BalancerEventQueue events;
    /** The ids that may have been executed, or null if the caller of {@link #accept} knows them. */
    private final ExecutionHistory executionHistory;

    private final Map<String, PendingRequest> pending = new HashMap<>();
    private BalancerSettings settings;
    private boolean knowsEndpoints;
    /** The time by which every request must have its final answer; infinite unless this process is shutting down. */
    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a tracker without requests.
     *
     * @param pollEndpointList starts a poll of the endpoint list
     * @param seed the seed of the balancer's random choices
     * @param cachedEndpointList the endpoint list from the configuration, which may be outdated
     * @param observer notified of every decision
     */
    public RequestTracker(
            Scheduler scheduler,
            RateLimitedLogger logger,
            EndpointConnections connections,
            Runnable pollEndpointList,
            BalancerSettings settings,
            long seed,
            EndpointList cachedEndpointList,
            RequestObserver observer) {
        this(scheduler, logger, connections, pollEndpointList, settings, seed, cachedEndpointList, observer, null);
    }

    /**
     * Creates a tracker as above that does not accept an id again which may have been executed.
     *
     * @param executionHistory the ids that may have been executed, or null
     */
    public RequestTracker(
            Scheduler scheduler,
            RateLimitedLogger logger,
            EndpointConnections connections,
            Runnable pollEndpointList,
            BalancerSettings settings,
            long seed,
            EndpointList cachedEndpointList,
            RequestObserver observer,
            ExecutionHistory executionHistory) {
        this.executionHistory = executionHistory;
        this.scheduler = scheduler;
        this.logger = logger;
        unservedRequests = new UnservedRequestLog(scheduler, logger);
        this.connections = connections;
        this.pollEndpointList = pollEndpointList;
        this.settings = settings;
        this.observer = observer;
        events = new BalancerEventQueue(
                scheduler, this::logBalancerFailure, this::failUnhandled, this::removeIfFinished);
        balancer = new LoadBalancer(settings, seed, this);
        streamedResponses = new StreamedResponses(scheduler, balancer, events, unservedRequests);
        applyList(EndpointListKind.CACHED, cachedEndpointList);
        if (!settings.pollsEndpointList()) {
            pollEndpointList.run();
        }
    }

    /** Returns whether any endpoint list so far contained an endpoint. */
    public boolean knowsEndpoints() {
        return knowsEndpoints;
    }

    /** Returns the number of pending requests. */
    public int pendingRequests() {
        return pending.size();
    }

    /** Returns whether a request with this id is pending. */
    public boolean isPending(String requestId) {
        return pending.containsKey(requestId);
    }

    /** Applies new settings to requests that arrive from now on; requests refer to their class by its index. */
    public void applySettings(BalancerSettings next) {
        settings = next;
        events.enqueue(now -> balancer.onSettingsChanged(now, next));
    }

    /** Replaces the set of endpoints that operators have disabled. */
    public void disableEndpoints(Set<String> endpointIds) {
        connections.setDisabled(endpointIds);
        events.enqueue(now -> balancer.onEndpointsDisabled(now, endpointIds));
        connections.withdrawAttempts();
    }

    // ---- Requests and clients ----

    /** The result of {@link #acceptOnce}. */
    public enum Acceptance {
        /** The request is pending, or was answered at once. */
        ACCEPTED,
        /** A request with the same id is pending. */
        IN_FLIGHT,
        /** A request with the same id may have been executed and must not be executed again. */
        MAY_HAVE_EXECUTED,
        /** The request was not executed and cannot be accepted now, as no more ids can be remembered. */
        NO_ROOM
    }

    /** Accepts a request as {@link #accept} does, unless it may have been executed before under the same id. */
    public Acceptance acceptOnce(
            Request request, Transport transport, ResponseListener listener, boolean bodyIncomplete) {
        if (isPending(request.id())) {
            return Acceptance.IN_FLIGHT;
        }
        RequestClass requestClass = settings.classes().get(request.classIndex());
        ExecutionHistory.ClaimResult result = executionHistory == null
                ? new ExecutionHistory.ClaimResult(ExecutionHistory.Claim.FIRST, 0)
                : executionHistory.claim(request.id(), requestClass);
        switch (result.claim()) {
            case MAY_HAVE_EXECUTED -> {
                logger.log("request id repeated", request.id() + " after " + result.ageMs() + " ms");
                return Acceptance.MAY_HAVE_EXECUTED;
            }
            case NO_ROOM -> {
                logger.log("no room for request ids", request.id());
                return Acceptance.NO_ROOM;
            }
            default -> {
                PendingRequest accepted = newPendingRequest(request, transport, listener, bodyIncomplete);
                accepted.claimed = executionHistory != null && result.claim() == ExecutionHistory.Claim.FIRST;
                if (result.claim() == ExecutionHistory.Claim.REPEAT) {
                    accepted.executedBeforeMs = accepted.acceptedAtMs - result.ageMs();
                }
                begin(accepted);
                return Acceptance.ACCEPTED;
            }
        }
    }

    /** Accepts a complete request. */
    public void accept(Request request, Transport transport, ResponseListener listener) {
        accept(request, transport, listener, false);
    }

    /**
     * Accepts a request whose body may still be arriving. While the body is incomplete, neither the deadline nor the
     * timeout of an attempt expires. The deadline of the request is given as if the body were complete, and is extended
     * by the time that passes until {@link #onRequestComplete}.
     */
    public void accept(Request request, Transport transport, ResponseListener listener, boolean bodyIncomplete) {
        begin(newPendingRequest(request, transport, listener, bodyIncomplete));
    }

    private PendingRequest newPendingRequest(
            Request request, Transport transport, ResponseListener listener, boolean bodyIncomplete) {
        PendingRequest created = new PendingRequest(request, scheduler.now(), settings, transport, listener);
        created.streamed = bodyIncomplete;
        created.bodyIncomplete = bodyIncomplete;
        return created;
    }

    private void begin(PendingRequest accepted) {
        Request request = accepted.request;
        pending.put(request.id(), accepted);
        observer.onRequest(request);
        if (!accepted.bodyIncomplete) {
            startDeadlineTimer(accepted);
        }
        events.enqueue(accepted, now -> balancer.onRequest(now, request));
    }

    /**
     * Called when the last byte of an incomplete request may have been written without being read, or if it turns out
     * that it was not. While it may have been, the client's time runs.
     *
     * @param sinceMs the time since which the last byte may have been written; NaN if it was not
     * @param latestMs the latest deadline that the request may have
     */
    public void onRequestMayBeComplete(String requestId, double sinceMs, double latestMs) {
        PendingRequest request = pending.get(requestId);
        if (request == null || !request.bodyIncomplete || request.concluded) {
            return;
        }
        request.uploadDueMs = Math.min(latestMs, sinceMs + request.deadlineMs - request.acceptedAtMs);
        startUploadTimer(request);
    }

    private void startUploadTimer(PendingRequest request) {
        request.cancelDeadlineTimer();
        if (!Double.isNaN(request.uploadDueMs)) {
            request.deadlineTimer = scheduler.after(request.uploadDueMs - scheduler.now(), () -> endUpload(request));
        }
    }

    /** Ends a request whose last byte was not forwarded by the deadline; no attempt of it can have been executed. */
    private void endUpload(PendingRequest request) {
        logger.logEach("upload not forwarded by the deadline", () -> describeUpload(request));
        for (PendingAttempt attempt : List.copyOf(request.attempts)) {
            giveUp(request, attempt, AttemptOutcome.TIMED_OUT);
        }
        if (!request.concluded) {
            failWithoutBalancer(request);
        }
    }

    private String describeUpload(PendingRequest request) {
        StringBuilder line = new StringBuilder(request.id());
        for (PendingAttempt attempt : request.attempts) {
            if (attempt.transportAttempt != null) {
                attempt.transportAttempt
                        .uploadProgress()
                        .ifPresent(progress -> line.append(", ")
                                .append(attempt.endpointId)
                                .append(" took ")
                                .append(progress.describe(scheduler.now())));
            }
        }
        return line.toString();
    }

    /**
     * Called when the last byte of a request has arrived. Starts the timers of the request and its attempts; its
     * deadline is {@code latestMs} at the latest.
     *
     * @param writtenAtMs the time since which the last byte may have been written, at most the current time
     */
    public void onRequestComplete(String requestId, double writtenAtMs, double latestMs) {
        PendingRequest request = pending.get(requestId);
        if (request == null || !request.bodyIncomplete) {
            return;
        }
        request.bodyIncomplete = false;
        request.cancelDeadlineTimer();
        if (request.claimed) {
            executionHistory.renew(requestId, request.requestClass);
        }
        double now = scheduler.now();
        request.deadlineMs = Math.min(latestMs, request.deadlineMs + writtenAtMs - request.acceptedAtMs);
        if (!request.concluded) {
            startDeadlineTimer(request);
        }
        for (PendingAttempt attempt : request.attempts) {
            if (!attempt.ended) {
                attempt.startedAtMs = now;
                startTimeoutTimer(request, attempt, request.deadlineMs - now);
            }
        }
    }

    /** Called when the request of an attempt is written; the timeout of an upload runs from then on. */
    private void onRequestWritten(PendingRequest request, PendingAttempt attempt) {
        if (request.streamed && !request.bodyIncomplete && !attempt.ended) {
            attempt.cancelTimer();
            attempt.startedAtMs = scheduler.now();
            double remainingMs = request.deadlineMs - attempt.startedAtMs;
            startTimeoutTimer(request, attempt, Math.min(attempt.timeoutMs, remainingMs));
        }
    }

    /**
     * Caps the deadline of every pending request at {@code latestMs}, so that each gets its final answer before the
     * process exits. An incomplete request is capped if its last byte may have arrived; the others are capped by
     * {@link #onRequestComplete} and {@link #onRequestMayBeComplete}.
     */
    public void capDeadlines(double latestMs) {
        latestDeadlineMs = latestMs;
        streamedResponses.endBy(latestMs);
        for (PendingRequest request : pending.values()) {
            if (request.concluded) {
                continue;
            }
            if (request.bodyIncomplete && request.uploadDueMs > latestMs) {
                request.uploadDueMs = latestMs;
                startUploadTimer(request);
            } else if (!request.bodyIncomplete && request.deadlineMs > latestMs) {
                capDeadline(request, latestMs);
            }
        }
    }

    private void capDeadline(PendingRequest request, double latestMs) {
        request.deadlineMs = latestMs;
        request.cancelDeadlineTimer();
        startDeadlineTimer(request);
        for (PendingAttempt attempt : request.attempts) {
            if (!attempt.ended && attempt.timeoutAtMs > latestMs) {
                attempt.cancelTimer();
                startTimeoutTimer(request, attempt, latestMs - scheduler.now());
            }
        }
    }

    /** Called when the client's connection ends before the final answer. */
    public void onClientDisconnected(String requestId) {
        PendingRequest request = pending.get(requestId);
        if (request == null || request.concluded) {
            return;
        }
        conclude(request, Conclusion.GONE, 0);
        unservedRequests.log(request, Reason.CLIENT_GONE);
        events.enqueue(request, now -> balancer.onClientDisconnected(now, requestId));
        for (PendingAttempt attempt : List.copyOf(request.attempts)) {
            if (request.bodyIncomplete) {
                // The body will never be complete, so no attempt of the request can be executed.
                giveUp(request, attempt, AttemptOutcome.CANCELED);
            } else if (attempt.withdraw()) {
                // This attempt was not sent, so it ends whether or not the settings allow attempts to be cancelled.
                finish(request, attempt, AttemptOutcome.NOT_EXECUTED);
            }
        }
    }

    /** Checks whether the client is still connected, as it may have disconnected while the event loop was busy. */
    private void detectDisconnectedClient(PendingRequest request) {
        if (!request.concluded && !request.listener.isConnected()) {
            onClientDisconnected(request.id());
        }
    }

    private void startDeadlineTimer(PendingRequest request) {
        double delayMs = request.deadlineMs - scheduler.now() + DEADLINE_SLACK_MS;
        request.deadlineTimer = scheduler.after(delayMs, () -> failAfterDeadline(request));
    }

    private void failAfterDeadline(PendingRequest request) {
        if (request.concluded) {
            return;
        }
        double remainingMs = finalAnswerDueMs(request) + DEADLINE_SLACK_MS - scheduler.now();
        if (remainingMs > 0 && isAwaitingResponse(request)) {
            request.deadlineTimer = scheduler.after(remainingMs, () -> failAfterDeadline(request));
        } else {
            logger.log("no decision by the deadline", request.id());
            failWithoutBalancer(request);
        }
    }

    /** Returns whether an attempt of the request waits for the rest of a response. */
    private static boolean isAwaitingResponse(PendingRequest request) {
        return request.attempts.stream()
                .anyMatch(attempt -> !attempt.ended
                        && attempt.transportAttempt.responseProgress().isPresent());
    }

    /** Fails a request without a decision of the load balancer, and reports it to the balancer as disconnected. */
    private void failWithoutBalancer(PendingRequest request) {
        fail(request);
        events.enqueue(request, now -> balancer.onClientDisconnected(now, request.id()));
    }

    private void logBalancerFailure(RuntimeException exception) {
        logger.logException("the load balancer failed", exception);
    }

    private void failUnhandled(PendingRequest request) {
        if (!request.concluded && request.attemptsInFlight == 0) {
            failWithoutBalancer(request);
        }
    }

    private void removeIfFinished(PendingRequest request) {
        if (request.isFinished()) {
            pending.remove(request.id());
            updateExecutionHistory(request);
        }
    }

    private void updateExecutionHistory(PendingRequest request) {
        if (request.claimed && request.isNeverExecuted()) {
            executionHistory.release(request.id(), request.requestClass);
        } else if (request.claimed && request.served) {
            executionHistory.onAnswered(request.id(), request.requestClass);
        }
    }

    // ---- Endpoint lists ----

    @Override
    public void onEndpointList(EndpointList list) {
        applyList(list.full() ? EndpointListKind.FULL : EndpointListKind.DELTA, list);
    }

    private void applyList(EndpointListKind kind, EndpointList list) {
        knowsEndpoints |= !list.entries().isEmpty();
        connections.update(list);
        events.enqueue(now -> balancer.onEndpointList(now, kind, list.endpoints()));
        connections.withdrawAttempts();
    }

    @Override
    public void onPollFailed(PollFailure failure, double listAgeMs) {
        if (settings.pollsEndpointList()) {
            events.enqueue(now -> balancer.onPollFailed(now, failure, listAgeMs));
        } else {
            scheduler.after(PUSHED_LIST_RETRY_MS, pollEndpointList);
        }
    }

    @Override
    public void onPollCompleted(double listAgeMs) {
        if (settings.pollsEndpointList()) {
            events.enqueue(now -> balancer.onPollCompleted(now, listAgeMs));
        } else {
            pollEndpointList.run();
        }
    }

    @Override
    public void onDiscoveryMoved(double listAgeMs) {
        if (settings.pollsEndpointList()) {
            events.enqueue(now -> balancer.onDiscoveryMoved(now, listAgeMs));
        } else {
            pollEndpointList.run();
        }
    }

    @Override
    public void onForwardingChanged(boolean allowed) {
        ForwardingMode suspended = connections.mayDelayDecisions() ? ForwardingMode.HOLD : ForwardingMode.REJECT;
        ForwardingMode mode = allowed ? ForwardingMode.FORWARD : suspended;
        connections.setForwardingAllowed(allowed);
        events.enqueue(now -> balancer.onForwardingChanged(now, mode));
        connections.withdrawAttempts();
    }

    // ---- Attempts ----

    @Override
    public void forward(String requestId, String endpointId, double timeoutMs) {
        PendingRequest request = pending.get(requestId);
        if (request == null) {
            logger.log("an attempt for a request that is not pending", requestId);
            return;
        }
        detectDisconnectedClient(request);
        double now = scheduler.now();
        double remainingMs = request.deadlineMs - (request.bodyIncomplete ? request.acceptedAtMs : now);
        double waitMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        double notAfterMs = request.notAfterMs();
        PendingAttempt attempt = new PendingAttempt(request.attempts.size(), endpointId, now, waitMs);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        observer.onAttemptStarted(requestId, attempt.number, endpointId, timeoutMs);
        if (request.concluded || remainingMs <= 0 || request.attempts.size() > request.maxAttempts) {
            finish(request, attempt, AttemptOutcome.NOT_EXECUTED);
        } else if (waitMs <= 0) {
            finish(request, attempt, AttemptOutcome.TIMED_OUT);
        } else {
            if (!request.bodyIncomplete) {
                startTimeoutTimer(request, attempt, waitMs);
            }
            send(request, attempt, notAfterMs);
        }
    }

    private void send(PendingRequest request, PendingAttempt attempt, double notAfterMs) {
        try {
            HostedAttempt hosted = new HostedAttempt(request, attempt);
            attempt.transportAttempt = request.transport.send(attempt.endpointId, hosted, notAfterMs, hosted);
        } catch (RuntimeException e) {
            // It is unknown how much was sent, so the attempt counts as possibly executed and its end is reported.
            logger.logException("sending failed", e);
            finish(request, attempt, AttemptOutcome.RESET);
        }
    }

    /** An attempt as the transport sees it: the conditions of its writing, and the receiver of its response. */
    private final class HostedAttempt implements Transport.WriteConditions, Transport.AttemptListener {
        private final PendingRequest request;
        private final PendingAttempt attempt;

        HostedAttempt(PendingRequest request, PendingAttempt attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        @Override
        public boolean mayStream() {
            return request.listener.mayStream();
        }

        @Override
        public void onRequestWritten() {
            RequestTracker.this.onRequestWritten(request, attempt);
        }

        @Override
        public boolean isTimeLimited() {
            return !request.bodyIncomplete || !Double.isNaN(request.uploadDueMs);
        }

        @Override
        public void onAttemptFinished(AttemptOutcome outcome, EndpointResponse response) {
            onResponse(request, attempt, outcome, response);
        }

        @Override
        public double remainingMs() {
            return request.remainingMs(attempt, scheduler.now());
        }

        @Override
        public boolean isClientConnected() {
            detectDisconnectedClient(request);
            return !request.concluded;
        }
    }

    private void startTimeoutTimer(PendingRequest request, PendingAttempt attempt, double delayMs) {
        attempt.timeoutAtMs = scheduler.now() + delayMs;
        attempt.timeoutTimer = scheduler.after(delayMs, () -> onTimeout(request, attempt));
    }

    /**
     * Ends an attempt whose time is up, unless its response has begun. Such a response is waited for as long as the
     * client can get a final answer in time, because the endpoint has executed the request. Then it is passed on if it
     * may still become whole; else the request fails with a whole response.
     */
    private void onTimeout(PendingRequest request, PendingAttempt attempt) {
        Optional<ResponseProgress> response =
                attempt.ended || request.concluded ? Optional.empty() : attempt.transportAttempt.responseProgress();
        double remainingMs = finalAnswerDueMs(request) - scheduler.now();
        if (response.isPresent() && remainingMs > 0) {
            attempt.responseLatencyMs = response.get().startedAtMs() - attempt.startedAtMs;
            startTimeoutTimer(request, attempt, remainingMs);
            return;
        }
        boolean hasTimeToGoOn = scheduler.now() + MIN_STREAMING_MS < latestDeadlineMs;
        if (response.isEmpty() || !hasTimeToGoOn || !attempt.transportAttempt.passOnResponse()) {
            boolean flowing = response.isPresent() && response.get().flowing();
            attempt.responseLatencyMs = Double.NaN;
            // A response that flows, but has to make way for another one, says nothing of its endpoint.
            giveUp(request, attempt, flowing ? AttemptOutcome.CANCELED : AttemptOutcome.TIMED_OUT);
        }
    }

    /** Returns the time by which a final answer has to be given so that it reaches the client in time. */
    private double finalAnswerDueMs(PendingRequest request) {
        double latestMs = Math.max(request.deadlineMs, latestDeadlineMs);
        return Math.min(request.deadlineMs + request.request.answerSlackMs(), latestMs);
    }

    private void onResponse(
            PendingRequest request, PendingAttempt attempt, AttemptOutcome outcome, EndpointResponse response) {
        if (response != null && response.remainingBody() != null) {
            attempt.transportAttempt
                    .responseProgress()
                    .ifPresent(progress -> attempt.responseLatencyMs = progress.startedAtMs() - attempt.startedAtMs);
        }
        if (response != null && !request.concluded) {
            deliver(request, attempt, outcome, response);
        } else if (response != null && response.remainingBody() != null) {
            response.remainingBody().abandon();
        }
        finish(request, attempt, outcome);
    }

    /** Passes a response to the client if it is the final answer to the request. */
    private void deliver(
            PendingRequest request, PendingAttempt attempt, AttemptOutcome outcome, EndpointResponse response) {
        if (outcome == AttemptOutcome.OK) {
            conclude(request, Conclusion.SERVED, 0);
            if (response.remainingBody() != null) {
                // Does not refer to the pending request, which holds the request's body.
                StreamedRequest streamed =
                        new StreamedRequest(request.id(), attempt.endpointId, request.deadlineMs, scheduler.now());
                events.enqueue(now -> balancer.onResponseBegun(now, request.id(), attempt.number));
                streamedResponses.follow(streamed, response.remainingBody());
            }
            request.listener.onServed(response);
        } else if (outcome == AttemptOutcome.NOT_EXECUTED) {
            conclude(request, Conclusion.TURNED_AWAY, 0);
            request.listener.onInvalidRequest(response.status());
        }
    }

    /** Stops waiting for an attempt. An attempt that was not written completely is reported as not executed. */
    private void giveUp(PendingRequest request, PendingAttempt attempt, AttemptOutcome outcome) {
        if (!attempt.ended) {
            attempt.updateProgress();
            // An endpoint that was taking a long body is not to blame for its length.
            AttemptOutcome unwrittenOutcome = attempt.isUploadMoving(scheduler.now())
                    ? AttemptOutcome.NOT_EXECUTED
                    : AttemptOutcome.CONNECT_ERROR;
            boolean mayBeExecuted = attempt.transportAttempt.giveUp();
            boolean keepsOutcome = mayBeExecuted || outcome == AttemptOutcome.CANCELED;
            finish(request, attempt, keepsOutcome ? outcome : unwrittenOutcome);
            attempt.neverExecuted |= !mayBeExecuted;
        }
    }

    private void finish(PendingRequest request, PendingAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.updateProgress();
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.neverExecuted = outcome.neverExecuted();
        attempt.cancelTimer();
        observer.onAttemptFinished(request.id(), attempt.number, outcome);
        double durationMs = request.bodyIncomplete ? 0 : latencyMs(attempt);
        events.enqueue(request, now -> {
            request.attemptsInFlight--;
            balancer.onAttemptFinished(
                    now,
                    new AttemptResult(
                            request.id(),
                            attempt.number,
                            attempt.endpointId,
                            outcome,
                            durationMs,
                            request.concluded,
                            LoadReport.NONE));
        });
    }

    /** Returns how long the endpoint took to answer; a body that arrives slowly is not held against it. */
    private double latencyMs(PendingAttempt attempt) {
        return Double.isNaN(attempt.responseLatencyMs)
                ? scheduler.now() - attempt.startedAtMs
                : Math.max(0, attempt.responseLatencyMs);
    }

    private void conclude(PendingRequest request, Conclusion conclusion, double retryAfterMs) {
        request.concluded = true;
        request.served = conclusion == Conclusion.SERVED;
        request.cancelDeadlineTimer();
        observer.onConcluded(request.id(), conclusion, retryAfterMs);
    }

    // ---- Other actions of the load balancer ----

    @Override
    public void reject(String requestId, double retryAfterMs) {
        PendingRequest request = pending.get(requestId);
        if (request != null && !request.concluded) {
            conclude(request, Conclusion.REFUSED, retryAfterMs);
            if (!request.attempts.isEmpty()) {
                unservedRequests.log(request, Reason.REJECTED);
            }
            request.listener.onRejected(retryAfterMs);
            removeAfterDispatch(request);
        }
    }

    @Override
    public void fail(String requestId) {
        PendingRequest request = pending.get(requestId);
        if (request != null && !request.concluded) {
            fail(request);
            removeAfterDispatch(request);
        }
    }

    /** Has a request removed that the balancer has concluded in an event of another request, or of none. */
    private void removeAfterDispatch(PendingRequest request) {
        events.enqueue(request, now -> {});
    }

    private void fail(PendingRequest request) {
        conclude(request, Conclusion.FAILED, 0);
        unservedRequests.log(request, Reason.FAILED);
        request.listener.onFailed();
    }

    /**
     * An attempt that is canceled after the request's time has failed to end in time, whoever was first to end it,
     * unless its response is flowing.
     */
    @Override
    public void cancelAttempt(String requestId, int attempt) {
        PendingRequest request = pending.get(requestId);
        if (request != null && attempt < request.attempts.size()) {
            PendingAttempt canceled = request.attempts.get(attempt);
            boolean late = !request.bodyIncomplete && scheduler.now() >= request.deadlineMs;
            boolean timedOut = late && !canceled.isResponseFlowing();
            giveUp(request, canceled, timedOut ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void scheduleTimer(double delayMs, long name) {
        scheduler.after(delayMs, () -> events.enqueue(now -> balancer.onTimer(now, name)));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        connections.closeIdleConnections(endpointId);
    }

    @Override
    public void pollEndpointList() {
        pollEndpointList.run();
    }

    @Override
    public void report(OverloadReport report) {
        logger.info(report);
    }
}
