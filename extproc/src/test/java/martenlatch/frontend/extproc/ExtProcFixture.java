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

/** A processor with no sockets, on a clock that the test moves, and the streams that consult it. */
public final class ExtProcFixture {

    public static final ExtProcSettings OWN =
            new ExtProcSettings(new InetSocketAddress("127.0.0.1", 0), 200, 2000, 300, 10_000, 1000, 100, 250);
    public static final RequestClass READ =
            new RequestClass("read", 200, 3000, 1, 0.5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    public static final RequestClass ORDER =
            new RequestClass("order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    public static final RequestClass SAVE = new RequestClass(
            "save", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 800, false);
    public static final RequestClass PUT = new RequestClass(
            "put", 1000, 3000, 1, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 5000, false);
    public static final BalancerSettings SITE = new BalancerSettings(
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

    final ManualScheduler time = new ManualScheduler();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final EndpointAddresses addresses = new EndpointAddresses();
    final ExtProcSettings own;
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    RequestTracker exchange;
    Processor processor;

    ExtProcFixture(Endpoint... servers) {
        this(OWN, servers);
    }

    ExtProcFixture(ExtProcSettings own, Endpoint... servers) {
        this.own = own;
        restart(servers);
    }

    /** A new program, that knows nothing of the old one's. */
    void restart(Endpoint... servers) {
        tasks.clear();
        RateLimitedLogger complaints = new RateLimitedLogger(time, new PrintStream(log, true, StandardCharsets.UTF_8));
        exchange = new RequestTracker(
                time, complaints, addresses, () -> {}, SITE, 7, list(true, servers), RequestObserver.NONE);
        processor = new Processor(time, tasks::add, complaints, exchange, addresses, own, SITE);
    }

    public static Endpoint server(int number) {
        return server(number, EndpointStatus.READY);
    }

    public static Endpoint server(int number, EndpointStatus state) {
        return new Endpoint("s" + number, 0, 0, number, 0, state, 1);
    }

    public static EndpointList list(boolean full, Endpoint... servers) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Endpoint server : servers) {
            entries.add(new EndpointList.Entry(
                    server,
                    new InetSocketAddress(
                            "10.0.0.1", 1 + Integer.parseInt(server.id().substring(1)))));
        }
        return new EndpointList(1, full, entries);
    }

    void change(Endpoint... servers) {
        exchange.onEndpointList(list(false, servers));
    }

    /** Lets what was put off until later happen. */
    void settle() {
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

    public static HeaderMap.Builder heads(String id, RequestClass kind, int attempt) {
        HeaderMap.Builder map = HeaderMap.newBuilder()
                .addHeaders(value(":method", kind.idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST"))
                .addHeaders(value(":path", "/api"))
                .addHeaders(value("x-request-id", id))
                .addHeaders(value("x-class", kind.name()))
                .addHeaders(value("x-deadline-ms", "1000"));
        return attempt == 0 ? map : map.addHeaders(value("x-envoy-attempt-count", Integer.toString(attempt)));
    }

    public static ProcessingRequest request(HeaderMap.Builder heads) {
        return ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(heads))
                .build();
    }

    public static ProcessingRequest response(int status, int flags, String... more) {
        HeaderMap.Builder map = HeaderMap.newBuilder().addHeaders(value(":status", status + ""));
        for (int i = 0; i < more.length; i += 2) {
            map.addHeaders(value(more[i], more[i + 1]));
        }
        ProcessingRequest.Builder made = ProcessingRequest.newBuilder()
                .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(map));
        return flags == 0
                ? made.build()
                : made.putAttributes(
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

    public static final int TIMED_OUT = 1 << 2;
    public static final int NOT_CONNECTED = 1 << 5;
    public static final int BROKEN = 1 << 6;

    Stream open() {
        return new Stream();
    }

    /** Consults, and lets it be decided. */
    Stream consult(String id, RequestClass kind, int attempt) {
        Stream stream = open().say(request(heads(id, kind, attempt)));
        settle();
        return stream;
    }

    /** One stream as a proxy has it. */
    final class Stream extends ServerCallStreamObserver<ProcessingResponse> {
        final List<ProcessingResponse> told = new ArrayList<>();
        Status error;
        int ends;
        private Runnable onCancel;
        private boolean cancelled;
        private final StreamObserver<ProcessingRequest> in = processor.process(this);

        Stream say(ProcessingRequest message) {
            in.onNext(message);
            return this;
        }

        /** The proxy breaks it off. */
        void breakOff() {
            if (!cancelled && ends == 0) {
                cancelled = true;
                onCancel.run();
                in.onError(Status.CANCELLED.asRuntimeException());
            }
        }

        ProcessingResponse last() {
            return told.get(told.size() - 1);
        }

        /** The status of the immediate response that ended it, or 0. */
        int status() {
            return told.isEmpty()
                    ? 0
                    : last().getImmediateResponse().getStatus().getCodeValue();
        }

        /** The endpoint that it was told, or null. */
        String endpoint() {
            return told.isEmpty()
                    ? null
                    : header(
                            told.get(0).getRequestHeaders().getResponse().getHeaderMutation(),
                            "x-gateway-destination-endpoint");
        }

        /** A header of the last message. */
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
            if (ends > 0) {
                throw new IllegalStateException("a message after the end");
            }
            if (!cancelled) {
                told.add(message);
            }
        }

        @Override
        public void onError(Throwable cause) {
            ends++;
            error = Status.fromThrowable(cause);
        }

        @Override
        public void onCompleted() {
            ends++;
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
