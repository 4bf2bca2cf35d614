package martenlatch.world;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ImmediateResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import martenlatch.request.Scheduler;

/**
 * A simple proxy that asks an external processor about each request over the published protocol
 * ({@code envoy.service.ext_proc.v3}) and sends the request to the endpoint that the processor names. It runs on one
 * thread, serves one request at a time per client connection and accepts bodies of at most 64 KiB. A {@link Behavior}
 * can inject faults.
 */
public final class StandInProxy {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final String DESTINATION_HEADER = "x-gateway-destination-endpoint";
    private static final String TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms";
    private static final String RETRY_HEADER = "x-martenlatch-retry";
    /** A bit of Envoy's attribute {@code response.flags}, as are the next two. */
    private static final int UPSTREAM_TIMEOUT_FLAG = 1 << 2;

    private static final int CONNECTION_FAILURE_FLAG = 1 << 5;
    private static final int CONNECTION_TERMINATION_FLAG = 1 << 6;

    /** What to do when the processor does not answer in time or its stream fails. */
    public enum ProcessorFailureMode {
        /** Fail the request. Proxies that use this processor must be configured so. */
        FAIL,
        /** Ask the processor again, as the next attempt. */
        ASK_AGAIN,
        /** Send the request to a fixed endpoint without a decision. */
        BYPASS
    }

    /** Controls how the proxy behaves; the default methods describe a correct proxy. */
    public interface Behavior {
        /** A proxy without faults. */
        Behavior CORRECT = new Behavior() {};

        /** Returns the delay between a decision and the connect to its endpoint, in milliseconds. */
        default double sendDelayMs(String id, int attempt) {
            return 0;
        }

        /** Returns how long to wait for an endpoint's response, given the time-out of the decision, in milliseconds. */
        default double waitMs(String id, int attempt, double timeoutMs) {
            return timeoutMs;
        }

        /** Returns whether to cancel the stream after its decision; the request proceeds without it. */
        default boolean cancelsStream(String id, int attempt) {
            return false;
        }

        /** Returns whether to open a second stream for the same attempt, whose decision is not carried out. */
        default boolean opensSecondStream(String id, int attempt) {
            return false;
        }

        /** Called when the second stream has a result: the status of an immediate response, or 0 for a decision. */
        default void onSecondResult(String id, int status) {}
    }

    /**
     * The configuration of a proxy.
     *
     * @param maxAttempts the maximum number of attempts per request
     * @param fallback the endpoint for {@link ProcessorFailureMode#BYPASS}, or null
     */
    public record Options(
            double messageTimeoutMs,
            double connectTimeoutMs,
            int maxAttempts,
            ProcessorFailureMode failureMode,
            InetSocketAddress fallback) {}

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Options options;
    private final Behavior behavior;
    private final ManagedChannel processor;
    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private Channel listener;

    /** Creates a proxy that uses the processor at an address; it does not listen yet. */
    public StandInProxy(
            EventLoop loop,
            Scheduler scheduler,
            InetSocketAddress processorAddress,
            Options options,
            Behavior behavior) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.options = options;
        this.behavior = behavior;
        processor = NettyChannelBuilder.forAddress(processorAddress)
                .usePlaintext()
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
        stub = ExternalProcessorGrpc.newStub(processor);
    }

    /** Starts to listen for clients. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Downstream());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Stops listening and disconnects from the processor; open streams are cancelled. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        processor.shutdownNow();
    }

    /** Handles one client connection. */
    private final class Downstream extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ProxiedRequest proxiedRequest;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            proxiedRequest = new ProxiedRequest(ctx.channel(), request);
            proxiedRequest.startAttempt();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (proxiedRequest != null) {
                proxiedRequest.onClientDisconnected();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A response for the client. */
    private record Reply(int status, io.netty.handler.codec.http.HttpHeaders headers, byte[] body) {
        static Reply generate(int status, String reason) {
            return new Reply(status, new DefaultHttpHeaders(), (reason + "\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** A client's request with all of its attempts. */
    private final class ProxiedRequest {
        private final Channel client;
        private final HttpMethod method;
        private final String uri;
        private final io.netty.handler.codec.http.HttpHeaders headers;
        private final byte[] body;
        private final String id;
        private int attempt;
        private ProcessorStream stream;
        private Channel upstream;
        private Scheduler.Timer timer;
        private Reply pendingReply;
        private boolean finished;

        ProxiedRequest(Channel client, FullHttpRequest request) {
            this.client = client;
            method = request.method();
            uri = request.uri();
            headers = request.headers().copy();
            body = ByteBufUtil.getBytes(request.content());
            id = headers.get("X-Request-Id", "");
        }

        /** Replaces the running timer, if any. */
        private void startTimer(double ms, Runnable onTimeout) {
            cancelTimer();
            timer = scheduler.after(ms, onTimeout);
        }

        private void cancelTimer() {
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        // ---- the processor ----

        void startAttempt() {
            attempt++;
            ProcessingRequest head = ProcessingRequest.newBuilder()
                    .setRequestHeaders(requestHead())
                    .build();
            stream = new ProcessorStream(this);
            if (behavior.opensSecondStream(id, attempt)) {
                new SecondStream(id).open(head);
            }
            startTimer(options.messageTimeoutMs(), () -> onProcessorFailure("no answer in time"));
            stream.open(head);
        }

        private HttpHeaders.Builder requestHead() {
            HeaderMap.Builder map = HeaderMap.newBuilder()
                    .addHeaders(value(":method", method.name()))
                    .addHeaders(value(":path", uri))
                    .addHeaders(value(":scheme", "http"))
                    .addHeaders(value(":authority", headers.get(HttpHeaderNames.HOST, "")));
            for (Map.Entry<String, String> header : headers) {
                map.addHeaders(value(header.getKey(), header.getValue()));
            }
            map.addHeaders(value("x-envoy-attempt-count", Integer.toString(attempt)));
            return HttpHeaders.newBuilder().setHeaders(map).setEndOfStream(body.length == 0);
        }

        void onProcessorFailure(String reason) {
            if (finished) {
                return;
            }
            cancelTimer();
            boolean awaitsResponseMutation = pendingReply != null;
            stream.cancel();
            if (awaitsResponseMutation
                    || options.failureMode() == ProcessorFailureMode.FAIL
                    || attempt >= options.maxAttempts()) {
                sendToClient(Reply.generate(awaitsResponseMutation ? 500 : 504, "processor: " + reason));
            } else if (options.failureMode() == ProcessorFailureMode.ASK_AGAIN) {
                startAttempt();
            } else {
                connect(options.fallback(), options.connectTimeoutMs(), 0);
            }
        }

        void onProcessorMessage(ProcessingResponse message) {
            if (finished) {
                return;
            }
            cancelTimer();
            if (message.hasImmediateResponse()) {
                ImmediateResponse immediate = message.getImmediateResponse();
                Reply reply = new Reply(
                        immediate.getStatus().getCodeValue(),
                        new DefaultHttpHeaders(),
                        immediate.getBody().toByteArray());
                applyMutation(reply.headers(), immediate.getHeaders());
                sendToClient(reply);
            } else if (pendingReply == null && message.hasRequestHeaders()) {
                onDecision(message.getRequestHeaders().getResponse().getHeaderMutation());
            } else if (pendingReply != null && message.hasResponseHeaders()) {
                applyResponseMutation(message.getResponseHeaders().getResponse().getHeaderMutation());
            } else {
                onProcessorFailure("spurious message " + message.getResponseCase());
            }
        }

        private void onDecision(HeaderMutation mutation) {
            applyMutation(headers, mutation);
            URI destination = URI.create("http://" + headers.get(DESTINATION_HEADER, ""));
            double waitMs = behavior.waitMs(id, attempt, Double.parseDouble(headers.get(TIMEOUT_HEADER, "15000")));
            double delayMs = behavior.sendDelayMs(id, attempt);
            double sendByMs = scheduler.now() + options.connectTimeoutMs();
            if (behavior.cancelsStream(id, attempt)) {
                stream.cancel();
            }
            InetSocketAddress to = new InetSocketAddress(destination.getHost(), destination.getPort());
            if (delayMs > 0) {
                startTimer(delayMs, () -> connectBy(to, sendByMs, waitMs));
            } else {
                connectBy(to, sendByMs, waitMs);
            }
        }

        // ---- the endpoint ----

        /** Counts the connect time-out from the decision, so that no decision is carried out late. */
        private void connectBy(InetSocketAddress to, double sendByMs, double waitMs) {
            double remainingMs = sendByMs - scheduler.now();
            if (remainingMs > 0) {
                connect(to, remainingMs, waitMs);
            } else {
                replyLocally(503, CONNECTION_FAILURE_FLAG);
            }
        }

        private void connect(InetSocketAddress to, double withinMs, double waitMs) {
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(withinMs))
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new Upstream(ProxiedRequest.this));
                        }
                    })
                    .connect(to);
            upstream = connecting.channel();
            if (waitMs > 0) {
                startTimer(waitMs, () -> {
                    closeUpstream();
                    replyLocally(504, UPSTREAM_TIMEOUT_FLAG);
                });
            }
            connecting.addListener(connected -> {
                if (connecting.channel() != upstream) {
                    connecting.channel().close();
                } else if (connected.isSuccess()) {
                    FullHttpRequest request =
                            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
                    request.headers()
                            .set(headers)
                            .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                            .set(HttpHeaderNames.CONNECTION, "close");
                    upstream.writeAndFlush(request);
                } else {
                    upstream = null;
                    replyLocally(503, CONNECTION_FAILURE_FLAG);
                }
            });
        }

        private void closeUpstream() {
            if (upstream != null) {
                Channel closing = upstream;
                upstream = null;
                closing.close();
            }
        }

        void onUpstreamResponse(Channel channel, FullHttpResponse response) {
            if (channel == upstream) {
                closeUpstream();
                onReply(
                        new Reply(
                                response.status().code(),
                                response.headers().copy(),
                                ByteBufUtil.getBytes(response.content())),
                        0);
            }
        }

        void onUpstreamDisconnected(Channel channel) {
            if (channel == upstream) {
                upstream = null;
                replyLocally(503, CONNECTION_TERMINATION_FLAG);
            }
        }

        /** Handles a response that the proxy itself generates. */
        private void replyLocally(int status, int flags) {
            onReply(Reply.generate(status, "no answer of the endpoint"), flags);
        }

        private void onReply(Reply reply, int flags) {
            cancelTimer();
            pendingReply = reply;
            if (!stream.isOpen()) {
                sendToClient(reply);
                return;
            }
            HeaderMap.Builder map =
                    HeaderMap.newBuilder().addHeaders(value(":status", Integer.toString(reply.status())));
            for (Map.Entry<String, String> header : reply.headers()) {
                map.addHeaders(value(header.getKey(), header.getValue()));
            }
            startTimer(options.messageTimeoutMs(), () -> onProcessorFailure("no word on the response in time"));
            stream.send(ProcessingRequest.newBuilder()
                    .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(map))
                    .putAttributes(
                            "envoy.filters.http.ext_proc",
                            Struct.newBuilder()
                                    .putFields(
                                            "response.flags",
                                            Value.newBuilder()
                                                    .setNumberValue(flags)
                                                    .build())
                                    .build())
                    .build());
        }

        private void applyResponseMutation(HeaderMutation mutation) {
            String status = applyMutation(pendingReply.headers(), mutation);
            Reply reply = status == null
                    ? pendingReply
                    : new Reply(Integer.parseInt(status), pendingReply.headers(), pendingReply.body());
            if (pendingReply.headers().contains(RETRY_HEADER) && attempt < options.maxAttempts()) {
                pendingReply = null;
                stream.cancel();
                startAttempt();
            } else {
                sendToClient(reply);
            }
        }

        // ---- the client ----

        private void sendToClient(Reply reply) {
            finished = true;
            cancelTimer();
            stream.cancel();
            closeUpstream();
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            for (Map.Entry<String, String> header : reply.headers()) {
                if (!header.getKey().equalsIgnoreCase("connection")) {
                    response.headers().add(header.getKey(), header.getValue());
                }
            }
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            client.writeAndFlush(response);
        }

        void onClientDisconnected() {
            if (!finished) {
                finished = true;
                cancelTimer();
                stream.cancel();
                closeUpstream();
            }
        }
    }

    private static HeaderValue value(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name.toLowerCase(Locale.ROOT))
                .setRawValue(ByteString.copyFrom(value, StandardCharsets.ISO_8859_1))
                .build();
    }

    /** Applies a mutation to headers; returns the new status if the mutation sets one, otherwise null. */
    private static String applyMutation(io.netty.handler.codec.http.HttpHeaders headers, HeaderMutation mutation) {
        String status = null;
        for (HeaderValueOption set : mutation.getSetHeadersList()) {
            HeaderValue header = set.getHeader();
            String value = header.getRawValue().isEmpty()
                    ? header.getValue()
                    : header.getRawValue().toString(StandardCharsets.ISO_8859_1);
            if (header.getKey().equals(":status")) {
                status = value;
            } else {
                headers.set(header.getKey(), value);
            }
        }
        mutation.getRemoveHeadersList().forEach(headers::remove);
        return status;
    }

    /** A stream to the processor. */
    private class ProcessorStream implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final ProxiedRequest proxiedRequest;
        private ClientCallStreamObserver<ProcessingRequest> out;
        private boolean closed;

        ProcessorStream(ProxiedRequest proxiedRequest) {
            this.proxiedRequest = proxiedRequest;
        }

        void open(ProcessingRequest head) {
            stub.process(this);
            send(head);
        }

        void send(ProcessingRequest message) {
            if (!closed) {
                out.onNext(message);
            }
        }

        boolean isOpen() {
            return !closed;
        }

        /** Cancels the stream; messages that arrive on it later are ignored. */
        void cancel() {
            if (!closed) {
                closed = true;
                out.cancel("the proxy no longer needs the stream", Status.CANCELLED.asException());
            }
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
            out = stream;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            if (!closed) {
                proxiedRequest.onProcessorMessage(message);
            }
        }

        @Override
        public void onError(Throwable cause) {
            if (!closed) {
                closed = true;
                proxiedRequest.onProcessorFailure(String.valueOf(cause.getMessage()));
            }
        }

        @Override
        public void onCompleted() {
            if (!closed) {
                closed = true;
                out.onCompleted();
            }
        }
    }

    /** A stream that duplicates the request of another one and only reports its result. */
    private final class SecondStream extends ProcessorStream {
        private final String id;

        SecondStream(String id) {
            super(null);
            this.id = id;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            behavior.onSecondResult(
                    id,
                    message.hasImmediateResponse()
                            ? message.getImmediateResponse().getStatus().getCodeValue()
                            : 0);
            cancel();
        }

        @Override
        public void onError(Throwable cause) {
            return;
        }
    }

    /** Handles one connection to an endpoint. */
    private static final class Upstream extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ProxiedRequest proxiedRequest;

        Upstream(ProxiedRequest proxiedRequest) {
            this.proxiedRequest = proxiedRequest;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            proxiedRequest.onUpstreamResponse(ctx.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            proxiedRequest.onUpstreamDisconnected(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
