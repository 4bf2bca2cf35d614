package martenlatch.front.extproc;

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
import martenlatch.front.CallReader;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;

/**
 * The front for other proxies: a gRPC stream is a consultation, and a consultation is one attempt of a
 * request that the proxy makes. It runs on one thread; what is decided is decided by the module that the
 * host asks.
 */
public final class Processor extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    /** Where a proxy puts the attributes that it was asked to send. */
    static final String ATTRIBUTES = "envoy.filters.http.ext_proc";

    static final String FLAGS_ATTRIBUTE = "response.flags";
    /** For a proxy that sends no attributes: its response flags in words. */
    static final String FLAGS_HEADER = "x-proxy-response-flags";

    static final String ATTEMPT_HEADER = "x-envoy-attempt-count";
    /** An id is remembered, so it must not be of any length. */
    private static final int MOST_ID = 256;
    /** Where there is no room for what is new, it lasts until something old is forgotten. */
    private static final double FULL_COOL_DOWN_MS = 1000;

    final Scheduler time;
    private final Executor soon;
    final RateLimitedLogger complaints;
    final RequestTracker exchange;
    final EndpointAddresses addresses;
    final ExtProcSettings own;
    private final BalancerSettings site;
    private final CallReader reader;
    final Consultations known;
    final SilentStreams silences;
    private final Map<String, ProxyCall> calls = new HashMap<>();
    /** Consultations that wait until all that has arrived with them is read. */
    private final Deque<Consultation> inbox = new ArrayDeque<>();

    private int streams;
    private double endsAt = Double.POSITIVE_INFINITY;

    /**
     * A front that nobody has consulted yet.
     *
     * @param soon runs a task on the same thread after what is in hand, and after what has been received
     */
    public Processor(
            Scheduler time,
            Executor soon,
            RateLimitedLogger complaints,
            RequestTracker exchange,
            EndpointAddresses addresses,
            ExtProcSettings own,
            BalancerSettings site) {
        this.time = time;
        this.soon = soon;
        this.complaints = complaints;
        this.exchange = exchange;
        this.addresses = addresses;
        this.own = own;
        this.site = site;
        reader = new CallReader(site);
        known = new Consultations(own.rememberMost(), own.rememberMs());
        silences = new SilentStreams(time, own.silenceMs());
    }

    /** From now on no request is taken that would not be over after so many milliseconds. */
    public void drain(double leftMs) {
        endsAt = time.now() + leftMs;
    }

    public int openStreams() {
        return streams;
    }

    public int pendingCalls() {
        return calls.size();
    }

    int remembered() {
        known.forgetOld(time.now());
        return known.size();
    }

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new Consultation(this, (ServerCallStreamObserver<ProcessingResponse>) out);
    }

    /** A stream more; false if that is one too many. */
    boolean opened() {
        if (++streams > own.mostStreams()) {
            complaints.log("too many consultations", own.mostStreams() + " are open");
            return false;
        }
        return true;
    }

    void closed() {
        streams--;
    }

    /** A stream wants to know what to do with its request. */
    void asks(Consultation asking) {
        if (inbox.isEmpty()) {
            soon.execute(this::decideAll);
        }
        inbox.add(asking);
    }

    void over(ProxyCall call) {
        calls.remove(call.id(), call);
    }

    /** Decides all that has come, in its order; what its proxy has given up since is passed over. */
    private void decideAll() {
        for (int left = inbox.size(); left > 0; left--) {
            Consultation next = inbox.poll();
            if (!next.waits()) {
                continue;
            }
            try {
                decide(next);
            } catch (RuntimeException e) {
                complaints.logException("a consultation failed", e);
                next.fail(Status.INTERNAL.withDescription("a consultation failed"));
            }
        }
    }

    private void decide(Consultation asking) {
        double now = time.now();
        HeaderView head = new HeaderView(asking.takeHead());
        CallReader.Reading reading = reader.read(head, now, endsAt);
        if (reading.request() == null) {
            asking.end(Replies.plain(reading.status(), reading.why()));
            return;
        }
        String id = reading.request().id();
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (id.length() > MOST_ID) {
            asking.end(Replies.plain(400, CallReader.ID + " is longer than " + MOST_ID));
        } else if (attempt < 0) {
            asking.end(Replies.plain(400, ATTEMPT_HEADER + " is no whole number"));
        } else {
            RequestClass kind = site.classes().get(reading.request().classIndex());
            switch (known.arrive(now, id, kind, attempt, exchange.isPending(id))) {
                case FIRST -> {
                    ProxyCall call = new ProxyCall(this, id, kind, asking);
                    calls.put(id, call);
                    exchange.accept(reading.request(), call, call);
                    call.mustHaveAnswered();
                }
                case NEXT -> calls.get(id).next(asking);
                case IN_HAND -> asking.end(Replies.plain(409, CallReader.ID + " is that of a request in hand"));
                case MAY_HAVE_RUN -> asking.end(Replies.plain(500, "it may have run, and may not run again"));
                case FULL -> {
                    complaints.log("no more requests can be remembered", known.size() + " are");
                    asking.end(Replies.refusal(FULL_COOL_DOWN_MS));
                }
                default -> throw new IllegalStateException("no such kind of consultation");
            }
        }
    }

    /** A proxy has left before it was told anything: the attempt that it came for has not run. */
    void givenUp(HttpHeaders undecided) {
        HeaderView head = new HeaderView(undecided);
        CallReader.Reading reading = reader.read(head, time.now(), endsAt);
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (reading.request() != null && attempt >= 0 && reading.request().id().length() <= MOST_ID) {
            known.neverRan(
                    time.now(),
                    reading.request().id(),
                    site.classes().get(reading.request().classIndex()),
                    attempt);
        }
    }

    /** The proxy's count of attempts, 0 where it tells none, or -1 for what is no count. */
    private static int attempt(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        return text.length() <= 6 && text.chars().allMatch(c -> c >= '0' && c <= '9') ? Integer.parseInt(text) : -1;
    }
}
