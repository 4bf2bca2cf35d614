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
import martenlatch.front.CallReader;
import martenlatch.front.http.Frontend;
import martenlatch.net.Buffers;
import martenlatch.net.LoopTime;
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
import martenlatch.upstream.AnswerReader;
import martenlatch.upstream.EndpointPool;

/**
 * Runs made-up requests through a second set of the sidecar's parts, on its own address, so that the code
 * is loaded and compiled before clients come. Nothing of it reaches an endpoint or outlives it.
 */
final class Warmup {

    /** Enough for the compiler to have taken up what every request runs through. */
    private static final int ROUNDS = 25;
    /** A busy machine must not keep a sidecar from starting. */
    private static final int MOST_MS = 3000;

    private final EventLoop loop;
    private final SiteConfig config;
    private final Runnable done;
    private EndpointPool pool;
    private Frontend frontend;
    private Channel endpoint;
    private Channel client;
    private int rounds;
    private boolean over;

    Warmup(EventLoop loop, SiteConfig config, Runnable done) {
        this.loop = loop;
        this.config = config;
        this.done = done;
    }

    void start() {
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
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
                                        new HttpObjectAggregator(AnswerReader.MOST_BODY),
                                        new EndpointHandler());
                    }
                })
                .bind(ephemeral());
        endpoint = bound.channel();
        bound.addListener(up -> {
            if (up.isSuccess() && !over) {
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
        Scheduler time = new LoopTime(loop);
        RateLimitedLogger silent = new RateLimitedLogger(time, new PrintStream(OutputStream.nullOutputStream()));
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Endpoint("warm-up", config.settings().ownZone(), 0, 0, 0, EndpointStatus.READY, 1), at)));
        pool = new EndpointPool(loop, time, silent, MOST_MS, config.idleCloseMs(), config.sockets());
        RequestTracker exchange = new RequestTracker(
                time, silent, pool, () -> {}, config.settings(), config.seed(), list, RequestObserver.NONE);
        frontend = new Frontend(loop, time, silent, exchange, pool, config.settings(), config.sockets());
        ChannelFuture bound = frontend.listen(ephemeral());
        bound.addListener(up -> {
            if (up.isSuccess() && !over) {
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
                                        new HttpObjectAggregator(AnswerReader.MOST_BODY),
                                        new Client());
                    }
                })
                .connect(at);
        client = connecting.channel();
        connecting.addListener(up -> {
            if (up.isSuccess()) {
                ask();
            } else {
                end();
            }
        });
    }

    private void ask() {
        List<RequestClass> classes = config.settings().classes();
        RequestClass kind = classes.get(rounds % classes.size());
        boolean safe = kind.idempotency() == Idempotency.IDEMPOTENT;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST,
                "/api",
                safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[128]));
        request.headers()
                .set("X-Request-Id", "warm-up-" + rounds)
                .set("X-Class", kind.name())
                .set(CallReader.DEADLINE, MOST_MS)
                .set("Host", "warm-up")
                .set("Cookie", "key=0")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (!config.settings().tenants().isEmpty()) {
            request.headers().set("X-Tenant", config.settings().tenants().get(0).name());
        }
        client.writeAndFlush(request);
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
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
            FullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[128]));
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            ctx.writeAndFlush(answer);
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (++rounds < ROUNDS) {
                ask();
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
