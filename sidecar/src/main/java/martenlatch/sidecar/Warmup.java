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
 * Sends synthetic requests through a second set of the sidecar's parts, on its own address, so that the code is loaded
 * and compiled before clients come. Nothing of it reaches an endpoint or outlives the warm-up.
 */
final class Warmup {

    /** Enough for the compiler to have compiled what every request runs through. */
    private static final int REQUESTS = 25;
    /** The longest warm-up, in milliseconds: a busy machine must not keep a sidecar from starting. */
    private static final int MAX_MS = 3000;

    private final EventLoop loop;
    private final SiteConfig config;
    private final Runnable done;
    private EndpointPool pool;
    private Frontend frontend;
    private Channel endpoint;
    private Channel client;
    private int answered;
    private boolean ended;

    Warmup(EventLoop loop, SiteConfig config, Runnable done) {
        this.loop = loop;
        this.config = config;
        this.done = done;
    }

    void start() {
        loop.schedule(this::end, MAX_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(ResponseDecoder.MAX_COLLECTED_BODY_BYTES),
                                        new EndpointHandler());
                    }
                })
                .bind(ephemeral());
        endpoint = bound.channel();
        bound.addListener(up -> {
            if (up.isSuccess() && !ended) {
                startSidecar((InetSocketAddress) endpoint.localAddress());
            } else {
                end();
            }
        });
    }

    private InetSocketAddress ephemeral() {
        return new InetSocketAddress(config.listen().getAddress(), 0);
    }

    private void startSidecar(InetSocketAddress at) {
        Scheduler scheduler = new EventLoopScheduler(loop);
        RateLimitedLogger silent = new RateLimitedLogger(scheduler, new PrintStream(OutputStream.nullOutputStream()));
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Endpoint("warm-up", config.settings().ownZone(), 0, 0, 0, EndpointStatus.READY, 1), at)));
        pool = new EndpointPool(loop, scheduler, silent, MAX_MS, config.idleCloseMs(), config.maxDescriptors());
        RequestTracker requestTracker = new RequestTracker(
                scheduler, silent, pool, () -> {}, config.settings(), config.seed(), list, RequestObserver.NONE);
        frontend =
                new Frontend(loop, scheduler, silent, requestTracker, pool, config.settings(), config.maxDescriptors());
        ChannelFuture bound = frontend.listen(ephemeral());
        bound.addListener(up -> {
            if (up.isSuccess() && !ended) {
                startClient((InetSocketAddress) bound.channel().localAddress());
            } else {
                end();
            }
        });
    }

    private void startClient(InetSocketAddress at) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(ResponseDecoder.MAX_COLLECTED_BODY_BYTES),
                                        new ClientHandler());
                    }
                })
                .connect(at);
        client = connecting.channel();
        connecting.addListener(up -> {
            if (up.isSuccess()) {
                sendRequest();
            } else {
                end();
            }
        });
    }

    private void sendRequest() {
        List<RequestClass> classes = config.settings().classes();
        RequestClass requestClass = classes.get(answered % classes.size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                "/api",
                idempotent ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[128]));
        request.headers()
                .set("X-Request-Id", "warm-up-" + answered)
                .set("X-Class", requestClass.name())
                .set(RequestParser.DEADLINE_HEADER, MAX_MS)
                .set("Host", "warm-up")
                .set("Cookie", "key=0")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (!config.settings().tenants().isEmpty()) {
            request.headers().set("X-Tenant", config.settings().tenants().get(0).name());
        }
        client.writeAndFlush(request);
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        endpoint.close();
        if (client != null) {
            client.close();
        }
        if (frontend != null) {
            frontend.close();
            pool.close();
        }
        done.run();
    }

    private static final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[128]));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
        }
    }

    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++answered < REQUESTS) {
                sendRequest();
            } else {
                end();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }
    }
}
