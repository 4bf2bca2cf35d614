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
 * A proxy that consults an external processor for each request over the published protocol
 * ({@code envoy.service.ext_proc.v3}) and sends it where it is told. One thread; one request at a time on a
 * client's connection; bodies of 64 KiB at most. What it does wrong on purpose is up to its {@link Conduct}.
 */
public final class StandInProxy {

    private static final int MOST_BODY = 64 * 1024;
    private static final String DESTINATION = "x-gateway-destination-endpoint";
    private static final String TIMEOUT = "x-envoy-upstream-rq-timeout-ms";
    private static final String RETRY = "x-martenlatch-retry";
    /** Bits of Envoy's attribute response.flags. */
    private static final int UPSTREAM_TIMEOUT = 1 << 2;

    private static final int CONNECTION_FAILURE = 1 << 5;
    private static final int CONNECTION_TERMINATION = 1 << 6;

    /** What to do when the processor does not answer in time, or its stream breaks. */
    public enum WhenAway {
        /** The request fails, which is how a proxy before this processor is to be configured. */
        FAIL,
        /** Consult again, as the next attempt. */
        ASK_AGAIN,
        /** Send it to a fixed endpoint with no decision. */
        GO_ON
    }

    /** How the proxy behaves; as it stands here, well. */
    public interface Conduct {
        /** A proxy that does all as it should. */
        Conduct GOOD = new Conduct() {};

        /** Milliseconds that pass between a decision and the connect that follows from it. */
        default double slownessMs(String id, int attempt) {
            return 0;
        }

        /** How long an endpoint's answer is waited for, in milliseconds, where so much was told. */
        default double waitMs(String id, int attempt, double told) {
            return told;
        }

        /** Whether the stream is broken off once a decision is there; the request goes on without it. */
        default boolean breaksOff(String id, int attempt) {
            return false;
        }

        /** Whether another stream asks for the same attempt at the same time; its answer is only noted. */
        default boolean asksTwice(String id, int attempt) {
            return false;
        }

        /** What the second stream was told: the status of an immediate response, or 0 for a decision. */
        default void toldTwice(String id, int status) {}
    }

    /**
     * What a proxy is configured with; times in milliseconds.
     *
     * @param tries how often a request may be consulted about
     * @param fallback the endpoint for {@link WhenAway#GO_ON}
     */
    public record Options(
            double messageTimeoutMs,
            double connectTimeoutMs,
            int tries,
            WhenAway whenAway,
            InetSocketAddress fallback) {}

    private final EventLoop loop;
    private final Scheduler time;
    private final Options options;
    private final Conduct conduct;
    private final ManagedChannel processor;
    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private Channel listener;

    /** A proxy that is to consult a processor at an address; it listens only when told to. */
    public StandInProxy(
            EventLoop loop, Scheduler time, InetSocketAddress processorAt, Options options, Conduct conduct) {
        this.loop = loop;
        this.time = time;
        this.options = options;
        this.conduct = conduct;
        processor = NettyChannelBuilder.forAddress(processorAt)
                .usePlaintext()
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
        stub = ExternalProcessorGrpc.newStub(processor);
    }

    /** Takes clients. */
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
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Downstream());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Stops taking clients and leaves the processor; streams that stand are broken off. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        processor.shutdownNow();
    }

    private final class Downstream extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Passing passing;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            passing = new Passing(ctx.channel(), request);
            passing.consult();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (passing != null) {
                passing.clientGone();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A response on its way to the client. */
    private record Reply(int status, io.netty.handler.codec.http.HttpHeaders headers, byte[] body) {
        static Reply local(int status, String why) {
            return new Reply(status, new DefaultHttpHeaders(), (why + "\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** One request of a client's, through all of its attempts. */
    private final class Passing {
        private final Channel client;
        private final HttpMethod method;
        private final String uri;
        private final io.netty.handler.codec.http.HttpHeaders headers;
        private final byte[] body;
        private final String id;
        private int attempt;
        private Asking asking;
        private Channel upstream;
        private Scheduler.Timer limit;
        private Reply held;
        private boolean over;

        Passing(Channel client, FullHttpRequest request) {
            this.client = client;
            method = request.method();
            uri = request.uri();
            headers = request.headers().copy();
            body = ByteBufUtil.getBytes(request.content());
            id = headers.get("X-Request-Id", "");
        }

        private void limit(double ms, Runnable late) {
            unlimited();
            limit = time.after(ms, late);
        }

        private void unlimited() {
            if (limit != null) {
                limit.cancel();
                limit = null;
            }
        }

        // ---- asking the processor ----

        void consult() {
            attempt++;
            ProcessingRequest head = ProcessingRequest.newBuilder()
                    .setRequestHeaders(requestHead())
                    .build();
            asking = new Asking(this);
            if (conduct.asksTwice(id, attempt)) {
                new Second(id).ask(head);
            }
            limit(options.messageTimeoutMs(), () -> processorAway("no answer in time"));
            asking.ask(head);
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

        void processorAway(String why) {
            if (over) {
                return;
            }
            unlimited();
            boolean responding = held != null;
            asking.leave();
            if (responding || options.whenAway() == WhenAway.FAIL || attempt >= options.tries()) {
                answer(Reply.local(responding ? 500 : 504, "processor: " + why));
            } else if (options.whenAway() == WhenAway.ASK_AGAIN) {
                consult();
            } else {
                connect(options.fallback(), options.connectTimeoutMs(), 0);
            }
        }

        void told(ProcessingResponse message) {
            if (over) {
                return;
            }
            unlimited();
            if (message.hasImmediateResponse()) {
                ImmediateResponse made = message.getImmediateResponse();
                Reply reply = new Reply(
                        made.getStatus().getCodeValue(),
                        new DefaultHttpHeaders(),
                        made.getBody().toByteArray());
                mutate(reply.headers(), made.getHeaders());
                answer(reply);
            } else if (held == null && message.hasRequestHeaders()) {
                decided(message.getRequestHeaders().getResponse().getHeaderMutation());
            } else if (held != null && message.hasResponseHeaders()) {
                respond(message.getResponseHeaders().getResponse().getHeaderMutation());
            } else {
                processorAway("spurious message " + message.getResponseCase());
            }
        }

        private void decided(HeaderMutation mutation) {
            mutate(headers, mutation);
            URI at = URI.create("http://" + headers.get(DESTINATION, ""));
            double wait = conduct.waitMs(id, attempt, Double.parseDouble(headers.get(TIMEOUT, "15000")));
            double slowness = conduct.slownessMs(id, attempt);
            double sendBy = time.now() + options.connectTimeoutMs();
            if (conduct.breaksOff(id, attempt)) {
                asking.leave();
            }
            InetSocketAddress to = new InetSocketAddress(at.getHost(), at.getPort());
            if (slowness > 0) {
                limit(slowness, () -> connectBy(to, sendBy, wait));
            } else {
                connectBy(to, sendBy, wait);
            }
        }

        // ---- the endpoint ----

        /** The connect's limit counts from the decision, so that no decision is carried out late. */
        private void connectBy(InetSocketAddress to, double sendBy, double waitMs) {
            double left = sendBy - time.now();
            if (left > 0) {
                connect(to, left, waitMs);
            } else {
                local(503, CONNECTION_FAILURE);
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
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MOST_BODY),
                                            new Upstream(Passing.this));
                        }
                    })
                    .connect(to);
            upstream = connecting.channel();
            if (waitMs > 0) {
                limit(waitMs, () -> {
                    leaveUpstream();
                    local(504, UPSTREAM_TIMEOUT);
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
                    local(503, CONNECTION_FAILURE);
                }
            });
        }

        private void leaveUpstream() {
            if (upstream != null) {
                Channel left = upstream;
                upstream = null;
                left.close();
            }
        }

        void answered(Channel by, FullHttpResponse response) {
            if (by == upstream) {
                leaveUpstream();
                response(
                        new Reply(
                                response.status().code(),
                                response.headers().copy(),
                                ByteBufUtil.getBytes(response.content())),
                        0);
            }
        }

        void upstreamLost(Channel lost) {
            if (lost == upstream) {
                upstream = null;
                local(503, CONNECTION_TERMINATION);
            }
        }

        /** A response that the proxy makes itself. */
        private void local(int status, int flags) {
            response(Reply.local(status, "no answer of the endpoint"), flags);
        }

        private void response(Reply reply, int flags) {
            unlimited();
            held = reply;
            if (!asking.isOpen()) {
                answer(reply);
                return;
            }
            HeaderMap.Builder map =
                    HeaderMap.newBuilder().addHeaders(value(":status", Integer.toString(reply.status())));
            for (Map.Entry<String, String> header : reply.headers()) {
                map.addHeaders(value(header.getKey(), header.getValue()));
            }
            limit(options.messageTimeoutMs(), () -> processorAway("no word on the response in time"));
            asking.say(ProcessingRequest.newBuilder()
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

        private void respond(HeaderMutation mutation) {
            String status = mutate(held.headers(), mutation);
            Reply reply = status == null ? held : new Reply(Integer.parseInt(status), held.headers(), held.body());
            if (held.headers().contains(RETRY) && attempt < options.tries()) {
                held = null;
                asking.leave();
                consult();
            } else {
                answer(reply);
            }
        }

        // ---- the client ----

        private void answer(Reply reply) {
            over = true;
            unlimited();
            asking.leave();
            leaveUpstream();
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

        void clientGone() {
            if (!over) {
                over = true;
                unlimited();
                asking.leave();
                leaveUpstream();
            }
        }
    }

    private static HeaderValue value(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name.toLowerCase(Locale.ROOT))
                .setRawValue(ByteString.copyFrom(value, StandardCharsets.ISO_8859_1))
                .build();
    }

    /** Changes headers; returns the status where that is changed too, else null. */
    private static String mutate(io.netty.handler.codec.http.HttpHeaders headers, HeaderMutation mutation) {
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

    /** One stream to the processor. */
    private class Asking implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final Passing passing;
        private ClientCallStreamObserver<ProcessingRequest> out;
        private boolean left;

        Asking(Passing passing) {
            this.passing = passing;
        }

        void ask(ProcessingRequest head) {
            stub.process(this);
            say(head);
        }

        void say(ProcessingRequest message) {
            if (!left) {
                out.onNext(message);
            }
        }

        boolean isOpen() {
            return !left;
        }

        /** Breaks the stream off; nothing that comes on it counts any more. */
        void leave() {
            if (!left) {
                left = true;
                out.cancel("the proxy has no more use for it", Status.CANCELLED.asException());
            }
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
            out = stream;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            if (!left) {
                passing.told(message);
            }
        }

        @Override
        public void onError(Throwable cause) {
            if (!left) {
                left = true;
                passing.processorAway(String.valueOf(cause.getMessage()));
            }
        }

        @Override
        public void onCompleted() {
            if (!left) {
                left = true;
                out.onCompleted();
            }
        }
    }

    /** A stream that asks what another one asks, and does nothing with what it is told. */
    private final class Second extends Asking {
        private final String id;

        Second(String id) {
            super(null);
            this.id = id;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            conduct.toldTwice(
                    id,
                    message.hasImmediateResponse()
                            ? message.getImmediateResponse().getStatus().getCodeValue()
                            : 0);
            leave();
        }

        @Override
        public void onError(Throwable cause) {
            return;
        }
    }

    private static final class Upstream extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Passing passing;

        Upstream(Passing passing) {
            this.passing = passing;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            passing.answered(ctx.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            passing.upstreamLost(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
