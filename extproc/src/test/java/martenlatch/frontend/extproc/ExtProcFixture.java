package martenlatch.frontend.extproc;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;

/** A processor without sockets, on a manually advanced clock, and the streams that a proxy opens to it. */
public final class ExtProcFixture {

    public static final ExtProcSettings SETTINGS =
            new ExtProcSettings(new InetSocketAddress("127.0.0.1", 0), 200, 2000, 300, 10_000, 1000, 100, 250);
    public static final RequestClass READ =
            new RequestClass("read", 200, 3000, 1, 0.5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    public static final RequestClass ORDER =
            new RequestClass("order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    public static final RequestClass SAVE = new RequestClass(
            "save", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 800, false);
    public static final RequestClass PUT = new RequestClass(
            "put", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 5000, false);
    public static final BalancerSettings BALANCER_SETTINGS = new BalancerSettings(
            1,
            0,
            0,
            0,
            false,
            false,
            0.1,
            0,
            List.of(READ, ORDER, SAVE, PUT),
            List.of(),
            new AttemptLimits(3, false, true, 2000, 200),
            new EndpointRules(0.3, 8000, 3, 1000, 500, 10_000));

    final ManualScheduler scheduler = new ManualScheduler();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final EndpointAddresses addresses = new EndpointAddresses();
    final ExtProcSettings settings;
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    RequestTracker requestTracker;
    Processor processor;

    ExtProcFixture(Endpoint... endpoints) {
        this(SETTINGS, endpoints);
    }

    ExtProcFixture(ExtProcSettings settings, Endpoint... endpoints) {
        this.settings = settings;
        restart(endpoints);
    }

    /** Simulates a process restart: creates a new request tracker and processor without the state of the old ones. */
    void restart(Endpoint... endpoints) {
        tasks.clear();
        RateLimitedLogger logger = new RateLimitedLogger(scheduler, new PrintStream(log, true, StandardCharsets.UTF_8));
        requestTracker = new RequestTracker(
                scheduler,
                logger,
                addresses,
                () -> {},
                BALANCER_SETTINGS,
                7,
                list(true, endpoints),
                RequestObserver.NONE);
        processor =
                new Processor(scheduler, tasks::add, logger, requestTracker, addresses, settings, BALANCER_SETTINGS);
    }

    public static Endpoint endpoint(int number) {
        return endpoint(number, EndpointStatus.READY);
    }

    public static Endpoint endpoint(int number, EndpointStatus status) {
        return new Endpoint("s" + number, 0, 0, number, 0, status, 1);
    }

    public static EndpointList list(boolean full, Endpoint... endpoints) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            entries.add(new EndpointList.Entry(
                    endpoint,
                    new InetSocketAddress(
                            "10.0.0.1", 1 + Integer.parseInt(endpoint.id().substring(1)))));
        }
        return new EndpointList(1, full, entries);
    }

    void updateEndpoints(Endpoint... endpoints) {
        requestTracker.onEndpointList(list(false, endpoints));
    }

    /** Runs all deferred tasks. */
    void runDeferredTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    // ---- messages ----

    public static HeaderValue value(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))
                .build();
    }

    public static HeaderMap.Builder headers(String id, RequestClass requestClass, int attempt) {
        HeaderMap.Builder map = HeaderMap.newBuilder()
                .addHeaders(value(":method", requestClass.idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST"))
                .addHeaders(value(":path", "/api"))
                .addHeaders(value("x-request-id", id))
                .addHeaders(value("x-class", requestClass.name()))
                .addHeaders(value("x-deadline-ms", "1000"));
        return attempt == 0 ? map : map.addHeaders(value("x-envoy-attempt-count", Integer.toString(attempt)));
    }

    public static ProcessingRequest request(HeaderMap.Builder headers) {
        return ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers))
                .build();
    }

    /** Returns the report of a response with these flags; {@code more} holds names and values of further headers. */
    public static ProcessingRequest response(int status, int flags, String... more) {
        HeaderMap.Builder map = HeaderMap.newBuilder().addHeaders(value(":status", status + ""));
        for (int i = 0; i < more.length; i += 2) {
            map.addHeaders(value(more[i], more[i + 1]));
        }
        ProcessingRequest.Builder message = ProcessingRequest.newBuilder()
                .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(map));
        return flags == 0
                ? message.build()
                : message.putAttributes(
                                "envoy.filters.http.ext_proc",
                                Struct.newBuilder()
                                        .putFields(
                                                "response.flags",
                                                Value.newBuilder()
                                                        .setNumberValue(flags)
                                                        .build())
                                        .build())
                        .build();
    }

    public static final int TIMED_OUT_FLAG = 1 << 2;
    public static final int CONNECT_FAILED_FLAG = 1 << 5;
    public static final int CONNECTION_LOST_FLAG = 1 << 6;

    Stream open() {
        return new Stream();
    }

    /** Opens a stream, sends the request headers and runs the decision. */
    Stream openAndDecide(String id, RequestClass requestClass, int attempt) {
        Stream stream = open().send(request(headers(id, requestClass, attempt)));
        runDeferredTasks();
        return stream;
    }

    /** The proxy's side of a stream. */
    final class Stream extends ServerCallStreamObserver<ProcessingResponse> {
        final List<ProcessingResponse> received = new ArrayList<>();
        Status error;
        int endCount;
        private Runnable onCancel;
        private boolean cancelled;
        private final StreamObserver<ProcessingRequest> in = processor.process(this);

        Stream send(ProcessingRequest message) {
            in.onNext(message);
            return this;
        }

        /** Cancels the stream as a proxy does; does nothing if it has ended. */
        void cancel() {
            if (!cancelled && endCount == 0) {
                cancelled = true;
                onCancel.run();
                in.onError(Status.CANCELLED.asRuntimeException());
            }
        }

        ProcessingResponse last() {
            return received.get(received.size() - 1);
        }

        /** Returns the status of the immediate response that ended the stream, or 0. */
        int status() {
            return received.isEmpty()
                    ? 0
                    : last().getImmediateResponse().getStatus().getCodeValue();
        }

        /** Returns the endpoint address in the decision, or null. */
        String endpoint() {
            return received.isEmpty()
                    ? null
                    : header(
                            received.get(0).getRequestHeaders().getResponse().getHeaderMutation(),
                            "x-gateway-destination-endpoint");
        }

        /** Returns a header that the last message sets, or null. */
        String header(String name) {
            HeaderMutation mutation = last().hasImmediateResponse()
                    ? last().getImmediateResponse().getHeaders()
                    : last().hasRequestHeaders()
                            ? last().getRequestHeaders().getResponse().getHeaderMutation()
                            : last().getResponseHeaders().getResponse().getHeaderMutation();
            return header(mutation, name);
        }

        private static String header(HeaderMutation mutation, String name) {
            for (HeaderValueOption option : mutation.getSetHeadersList()) {
                if (option.getHeader().getKey().equals(name)) {
                    return option.getHeader().getRawValue().toStringUtf8();
                }
            }
            return null;
        }

        boolean isPassedOn() {
            return last().hasResponseHeaders() && !last().getResponseHeaders().hasResponse();
        }

        @Override
        public void onNext(ProcessingResponse message) {
            if (endCount > 0) {
                throw new IllegalStateException("received a message after the end of the stream");
            }
            if (!cancelled) {
                received.add(message);
            }
        }

        @Override
        public void onError(Throwable cause) {
            endCount++;
            error = Status.fromThrowable(cause);
        }

        @Override
        public void onCompleted() {
            endCount++;
        }

        @Override
        public boolean isCancelled() {
            return cancelled;
        }

        @Override
        public void setOnCancelHandler(Runnable handler) {
            onCancel = handler;
        }

        @Override
        public void setCompression(String compression) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public void setOnReadyHandler(Runnable handler) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void request(int count) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void setMessageCompression(boolean enable) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void disableAutoInboundFlowControl() {
            throw new UnsupportedOperationException();
        }
    }
}
