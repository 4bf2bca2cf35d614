package martenlatch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.RequestParser;
import martenlatch.frontend.http.Frontend;
import martenlatch.net.Buffers;
import martenlatch.net.EventLoopScheduler;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.SiteConfig;
import martenlatch.upstream.EndpointPool;
import martenlatch.upstream.ResponseDecoder;

/**
 * Sends synthetic requests through a temporary set of the sidecar's components, listening on ephemeral ports of the
 * sidecar's own address, so that the code is loaded and compiled before clients connect. The requests never reach a
 * real endpoint, and nothing of the warm-up outlives it.
 */
final class Warmup {

    /** Enough requests for the JIT compiler to have compiled the code that every request runs through. */
    private static final int REQUEST_COUNT = 25;
    /** The maximum duration of the warm-up: a busy machine must not keep a sidecar from starting. */
    private static final int MAX_DURATION_MS = 3000;
    /** The size of the request and response bodies. */
    private static final int BODY_BYTES = 128;

    private final EventLoop loop;
    private final SiteConfig config;
    private final Runnable onFinished;
    private EndpointPool pool;
    private Frontend frontend;
    private Channel endpoint;
    private Channel client;
    private int responseCount;
    private boolean finished;

    Warmup(EventLoop loop, SiteConfig config, Runnable onFinished) {
        this.loop = loop;
        this.config = config;
        this.onFinished = onFinished;
    }

    /** Starts the warm-up; {@code onFinished} runs on the event loop when it ends, successful or not. */
    void start() {
        loop.schedule(this::finish, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(ResponseDecoder.MAX_COLLECTED_BODY_BYTES),
                                        new EndpointHandler());
                    }
                })
                .bind(ephemeralAddress());
        endpoint = binding.channel();
        binding.addListener(future -> {
            if (future.isSuccess() && !finished) {
                startSidecar((InetSocketAddress) endpoint.localAddress());
            } else {
                finish();
            }
        });
    }

    private InetSocketAddress ephemeralAddress() {
        return new InetSocketAddress(config.listen().getAddress(), 0);
    }

    private void startSidecar(InetSocketAddress endpointAddress) {
        Scheduler scheduler = new EventLoopScheduler(loop);
        RateLimitedLogger discardingLogger =
                new RateLimitedLogger(scheduler, new PrintStream(OutputStream.nullOutputStream()));
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Endpoint("warm-up", config.settings().ownZone(), 0, 0, 0, EndpointStatus.READY, 1),
                        endpointAddress)));
        pool = new EndpointPool(
                loop, scheduler, discardingLogger, MAX_DURATION_MS, config.idleCloseMs(), config.maxDescriptors());
        RequestTracker requestTracker = new RequestTracker(
                scheduler,
                discardingLogger,
                pool,
                () -> {},
                config.settings(),
                config.seed(),
                list,
                RequestObserver.NONE);
        frontend = new Frontend(
                loop, scheduler, discardingLogger, requestTracker, pool, config.settings(), config.maxDescriptors());
        ChannelFuture binding = frontend.listen(ephemeralAddress());
        binding.addListener(future -> {
            if (future.isSuccess() && !finished) {
                startClient((InetSocketAddress) binding.channel().localAddress());
            } else {
                finish();
            }
        });
    }

    private void startClient(InetSocketAddress frontendAddress) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(ResponseDecoder.MAX_COLLECTED_BODY_BYTES),
                                        new ClientHandler());
                    }
                })
                .connect(frontendAddress);
        client = connecting.channel();
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                sendRequest();
            } else {
                finish();
            }
        });
    }

    private void sendRequest() {
        List<RequestClass> classes = config.settings().classes();
        RequestClass requestClass = classes.get(responseCount % classes.size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                "/api",
                idempotent ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        request.headers()
                .set("X-Request-Id", "warm-up-" + responseCount)
                .set("X-Class", requestClass.name())
                .set(RequestParser.DEADLINE_HEADER, MAX_DURATION_MS)
                .set("Host", "warm-up")
                .set("Cookie", "key=0")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (!config.settings().tenants().isEmpty()) {
            request.headers().set("X-Tenant", config.settings().tenants().get(0).name());
        }
        client.writeAndFlush(request);
    }

    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        endpoint.close();
        if (client != null) {
            client.close();
        }
        if (frontend != null) {
            frontend.close();
            pool.close();
        }
        onFinished.run();
    }

    /** Responds to every request with a fixed body. */
    private static final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
        }
    }

    /** Sends the next request after each response, until the last one has been answered. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++responseCount < REQUEST_COUNT) {
                sendRequest();
            } else {
                finish();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish();
        }
    }
}
