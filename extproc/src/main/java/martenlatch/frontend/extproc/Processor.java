package martenlatch.frontend.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import martenlatch.frontend.InvalidRequestException;
import martenlatch.frontend.RequestParser;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;

/**
 * The external processor's gRPC service. Each stream is one attempt of a request that a proxy makes. All methods run on
 * one thread. The load balancer makes every decision; the request tracker calls it.
 */
public final class Processor extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    /** The key under which a proxy sends the attributes that it is configured to send. */
    static final String ATTRIBUTES = "envoy.filters.http.ext_proc";

    static final String FLAGS_ATTRIBUTE = "response.flags";
    /** Carries the response flags as text, for proxies that send no attributes. */
    static final String FLAGS_HEADER = "x-proxy-response-flags";

    static final String ATTEMPT_HEADER = "x-envoy-attempt-count";
    /** Limits the memory that the request history needs for an id. */
    private static final int MAX_ID_LENGTH = 256;
    /** Sent while the request history is full: a new request must wait until an old one is forgotten. */
    private static final double HISTORY_FULL_RETRY_AFTER_MS = 1000;

    private final Scheduler scheduler;
    private final Executor afterReads;
    private final RateLimitedLogger logger;
    private final RequestTracker requestTracker;
    private final EndpointAddresses addresses;
    private final ExtProcSettings settings;
    private final BalancerSettings balancerSettings;
    private final RequestParser parser;
    private final RequestHistory history;
    private final IdleStreamMonitor idleStreams;
    private final Map<String, ProxiedRequest> requests = new HashMap<>();
    /** Streams that wait for a decision until everything that arrived with them has been read. */
    private final Deque<ProcessingStream> waitingStreams = new ArrayDeque<>();

    private int openStreams;
    private double maxDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a processor without streams.
     *
     * @param afterReads runs a task on the same thread after the current one and after all received data has been read
     */
    public Processor(
            Scheduler scheduler,
            Executor afterReads,
            RateLimitedLogger logger,
            RequestTracker requestTracker,
            EndpointAddresses addresses,
            ExtProcSettings settings,
            BalancerSettings balancerSettings) {
        this.scheduler = scheduler;
        this.afterReads = afterReads;
        this.logger = logger;
        this.requestTracker = requestTracker;
        this.addresses = addresses;
        this.settings = settings;
        this.balancerSettings = balancerSettings;
        parser = new RequestParser(balancerSettings);
        history = new RequestHistory(settings.maxRememberedRequests(), settings.rememberMs());
        idleStreams = new IdleStreamMonitor(scheduler, settings.idleTimeoutMs());
    }

    /** Limits the deadline of every request accepted from now on, so that it is answered within this time. */
    public void drain(double remainingMs) {
        maxDeadlineMs = scheduler.now() + remainingMs;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    RateLimitedLogger logger() {
        return logger;
    }

    RequestTracker requestTracker() {
        return requestTracker;
    }

    EndpointAddresses addresses() {
        return addresses;
    }

    ExtProcSettings settings() {
        return settings;
    }

    RequestHistory history() {
        return history;
    }

    IdleStreamMonitor idleStreams() {
        return idleStreams;
    }

    /** Returns the number of open streams. */
    public int openStreams() {
        return openStreams;
    }

    /** Returns the number of requests without a final answer. */
    public int pendingRequests() {
        return requests.size();
    }

    /** Returns the number of ids in the request history. */
    int rememberedRequests() {
        history.forgetOld(scheduler.now());
        return history.size();
    }

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new ProcessingStream(this, (ServerCallStreamObserver<ProcessingResponse>) out);
    }

    /** Called when a stream is opened; returns false if more than {@code max-streams} are open. */
    boolean onStreamOpened() {
        if (++openStreams > settings.maxStreams()) {
            logger.log("too many streams", settings.maxStreams() + " are open");
            return false;
        }
        return true;
    }

    void onStreamClosed() {
        openStreams--;
    }

    /** Called when a stream has received its request headers; enqueues the stream for a decision. */
    void onRequest(ProcessingStream stream) {
        if (waitingStreams.isEmpty()) {
            afterReads.execute(this::decideAll);
        }
        waitingStreams.add(stream);
    }

    /** Removes a request that has ended. */
    void remove(ProxiedRequest request) {
        requests.remove(request.id(), request);
    }

    /** Decides on all waiting requests in order of arrival; skips those whose streams have ended. */
    private void decideAll() {
        for (int remaining = waitingStreams.size(); remaining > 0; remaining--) {
            ProcessingStream next = waitingStreams.poll();
            if (!next.isWaiting()) {
                continue;
            }
            try {
                decide(next);
            } catch (RuntimeException e) {
                logger.logException("a decision failed", e);
                next.fail(Status.INTERNAL.withDescription("a decision failed"));
            }
        }
    }

    private void decide(ProcessingStream stream) {
        double nowMs = scheduler.now();
        HeaderView head = new HeaderView(stream.takeHead());
        Request request;
        try {
            request = parser.parse(head, nowMs, maxDeadlineMs);
        } catch (InvalidRequestException e) {
            stream.end(ProcessingResponses.immediate(e.status(), e.getMessage()));
            return;
        }
        String id = request.id();
        int attempt = parseAttempt(head.first(ATTEMPT_HEADER));
        if (id.length() > MAX_ID_LENGTH) {
            stream.end(ProcessingResponses.immediate(
                    400, RequestParser.REQUEST_ID_HEADER + " is longer than " + MAX_ID_LENGTH));
        } else if (attempt < 0) {
            stream.end(ProcessingResponses.immediate(400, ATTEMPT_HEADER + " is no whole number"));
        } else {
            RequestClass requestClass = balancerSettings.classes().get(request.classIndex());
            boolean pending = requestTracker.isPending(id);
            switch (history.onArrival(nowMs, id, requestClass, attempt, pending)) {
                case NEW_REQUEST -> startRequest(stream, request, requestClass);
                case NEXT_ATTEMPT -> requests.get(id).onNextStream(stream);
                case IN_FLIGHT ->
                    stream.end(ProcessingResponses.immediate(
                            409, RequestParser.REQUEST_ID_HEADER + " is that of a request in hand"));
                case MAY_HAVE_EXECUTED ->
                    stream.end(ProcessingResponses.immediate(500, "it may have run, and may not run again"));
                case TABLE_FULL -> {
                    logger.log("no more requests can be remembered", history.size() + " are");
                    stream.end(ProcessingResponses.rejected(HISTORY_FULL_RETRY_AFTER_MS));
                }
                default -> throw new IllegalStateException("unknown kind of arrival");
            }
        }
    }

    private void startRequest(ProcessingStream stream, Request request, RequestClass requestClass) {
        ProxiedRequest proxied = new ProxiedRequest(this, request.id(), requestClass, stream);
        requests.put(request.id(), proxied);
        requestTracker.accept(request, proxied, proxied);
        proxied.requireAnswer();
    }

    /** Called when a stream has ended before a decision: its attempt was not executed. */
    void onRequestWithdrawn(HttpHeaders undecidedHead) {
        HeaderView head = new HeaderView(undecidedHead);
        Request request;
        try {
            request = parser.parse(head, scheduler.now(), maxDeadlineMs);
        } catch (InvalidRequestException e) {
            // An invalid request is never accepted, so it has no attempt to record.
            return;
        }
        int attempt = parseAttempt(head.first(ATTEMPT_HEADER));
        if (attempt >= 0 && request.id().length() <= MAX_ID_LENGTH) {
            RequestClass requestClass = balancerSettings.classes().get(request.classIndex());
            history.onNeverExecuted(scheduler.now(), request.id(), requestClass, attempt);
        }
    }

    /** Returns the proxy's attempt count, 0 if the header is absent or empty, or -1 if it is no whole number. */
    private static int parseAttempt(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        return text.length() <= 6 && text.chars().allMatch(c -> c >= '0' && c <= '9') ? Integer.parseInt(text) : -1;
    }
}
