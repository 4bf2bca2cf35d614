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
 * The frontend for other proxies: each gRPC stream is one attempt of a request that the proxy makes. It runs on one
 * thread; every decision is the load balancer's, which the request tracker asks.
 */
public final class Processor extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    /** The name under which a proxy sends the attributes that it was asked for. */
    static final String ATTRIBUTES = "envoy.filters.http.ext_proc";

    static final String FLAGS_ATTRIBUTE = "response.flags";
    /** The response flags in words, from a proxy that sends no attributes. */
    static final String FLAGS_HEADER = "x-proxy-response-flags";

    static final String ATTEMPT_HEADER = "x-envoy-attempt-count";
    /** Ids are remembered, so their length is bounded. */
    private static final int MAX_ID_LENGTH = 256;
    /** While the table is full, a new request has to wait until an old one is forgotten. */
    private static final double FULL_RETRY_AFTER_MS = 1000;

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
    /** RequestHistory that wait until all that has arrived with them is read. */
    private final Deque<ProcessingStream> waiting = new ArrayDeque<>();

    private int openStreams;
    private double maxDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a processor without streams.
     *
     * @param afterReads runs a task on the same thread after the present one, and after what has been received is read
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

    /** From now on every request that is accepted has its final answer within this time. */
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

    /** The number of open streams. */
    public int openStreams() {
        return openStreams;
    }

    /** The number of requests without a final answer. */
    public int pendingRequests() {
        return requests.size();
    }

    /** The number of ids that are remembered. */
    int rememberedRequests() {
        history.forgetOld(scheduler.now());
        return history.size();
    }

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new ProcessingStream(this, (ServerCallStreamObserver<ProcessingResponse>) out);
    }

    /** A stream was opened; false if that is one too many. */
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

    /** A stream has brought a request and waits for a decision. */
    void onRequest(ProcessingStream stream) {
        if (waiting.isEmpty()) {
            afterReads.execute(this::decideAll);
        }
        waiting.add(stream);
    }

    /** A request is over. */
    void remove(ProxiedRequest request) {
        requests.remove(request.id(), request);
    }

    /** Decides on all requests that wait, in their order; those that their proxies have given up are skipped. */
    private void decideAll() {
        for (int left = waiting.size(); left > 0; left--) {
            ProcessingStream next = waiting.poll();
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
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (id.length() > MAX_ID_LENGTH) {
            stream.end(ProcessingResponses.immediate(
                    400, RequestParser.REQUEST_ID_HEADER + " is longer than " + MAX_ID_LENGTH));
        } else if (attempt < 0) {
            stream.end(ProcessingResponses.immediate(400, ATTEMPT_HEADER + " is no whole number"));
        } else {
            RequestClass requestClass = balancerSettings.classes().get(request.classIndex());
            boolean pending = requestTracker.isPending(id);
            switch (history.onArrival(nowMs, id, requestClass, attempt, pending)) {
                case NEW_REQUEST -> accept(stream, request, requestClass);
                case NEXT_ATTEMPT -> requests.get(id).onNextStream(stream);
                case IN_FLIGHT ->
                    stream.end(ProcessingResponses.immediate(
                            409, RequestParser.REQUEST_ID_HEADER + " is that of a request in hand"));
                case MAY_HAVE_EXECUTED ->
                    stream.end(ProcessingResponses.immediate(500, "it may have run, and may not run again"));
                case TABLE_FULL -> {
                    logger.log("no more requests can be remembered", history.size() + " are");
                    stream.end(ProcessingResponses.rejected(FULL_RETRY_AFTER_MS));
                }
                default -> throw new IllegalStateException("unknown kind of arrival");
            }
        }
    }

    private void accept(ProcessingStream stream, Request request, RequestClass requestClass) {
        ProxiedRequest proxied = new ProxiedRequest(this, request.id(), requestClass, stream);
        requests.put(request.id(), proxied);
        requestTracker.accept(request, proxied, proxied);
        proxied.requireAnswer();
    }

    /** A stream has ended before a decision: the attempt that it came for was not executed. */
    void onRequestWithdrawn(HttpHeaders undecided) {
        HeaderView head = new HeaderView(undecided);
        Request request;
        try {
            request = parser.parse(head, scheduler.now(), maxDeadlineMs);
        } catch (InvalidRequestException e) {
            // A request that cannot be accepted has had no attempt.
            return;
        }
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (attempt >= 0 && request.id().length() <= MAX_ID_LENGTH) {
            RequestClass requestClass = balancerSettings.classes().get(request.classIndex());
            history.onNeverExecuted(scheduler.now(), request.id(), requestClass, attempt);
        }
    }

    /** The proxy's count of attempts, 0 where it tells none, or -1 for what is not a count. */
    private static int attempt(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        return text.length() <= 6 && text.chars().allMatch(c -> c >= '0' && c <= '9') ? Integer.parseInt(text) : -1;
    }
}
