package martenlatch.world;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Emulates one endpoint of the service. It serves a limited number of requests at once, queues a limited number and
 * rejects the others; it is slower while it is cold. All state belongs to one event loop; calls from other threads are
 * run there.
 */
public final class Endpoint {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int SLOW_FACTOR = 10;
    private static final double NANOS_PER_MS = 1e6;
    private static final HttpResponseStatus OVERLOADED = HttpResponseStatus.SERVICE_UNAVAILABLE;

    private final String id;
    private final String zone;
    private final EventLoop loop;
    private final WorldSettings settings;
    private final Ledger ledger;
    private final SplittableRandom random;
    private final ChannelGroup connections;
    private final AtomicInteger accepts = new AtomicInteger();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private Channel listener;
    private volatile InetSocketAddress address;
    private volatile long startedMs;
    private EndpointFault fault = EndpointFault.NONE;
    private long stalledUntilNanos = System.nanoTime();
    private long drainedAtNanos = Long.MAX_VALUE;
    private long warmAtNanos = System.nanoTime();
    private int activeRequests;
    /** Incremented by {@link #die}, so that requests begun before it are never answered. */
    private int incarnation;

    Endpoint(String id, String zone, EventLoop loop, WorldSettings settings, Ledger ledger, long seed) {
        this.id = id;
        this.zone = zone;
        this.loop = loop;
        this.settings = settings;
        this.ledger = ledger;
        random = new SplittableRandom(seed);
        connections = new DefaultChannelGroup(loop);
    }

    /** Starts to listen on a port of the loopback address; 0 for a port of the system's choice. */
    void listen(int port) {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        connections.add(accepted);
                        accepts.incrementAndGet();
                        if (fault == EndpointFault.DEAF) {
                            accepted.config().setAutoRead(false);
                        }
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new RequestHandler());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Returns the id of the endpoint in endpoint lists. */
    public String id() {
        return id;
    }

    /** Returns the zone of the endpoint. */
    public String zone() {
        return zone;
    }

    /** Returns the address the endpoint listens on; it stays the same over restarts. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the Unix time in milliseconds of the last restart; 0 if the endpoint was never restarted. */
    public long startedMs() {
        return startedMs;
    }

    /** Returns the number of connections accepted so far. */
    public int accepts() {
        return accepts.get();
    }

    /** Sets the fault. */
    public void trouble(EndpointFault next) {
        EventLoops.runAndWait(loop, () -> fault = next);
    }

    /** Holds back all answers for this time and then sends them at once; requests are accepted and served meanwhile. */
    public void stall(double ms) {
        EventLoops.runAndWait(loop, () -> stalledUntilNanos = System.nanoTime() + (long) (ms * NANOS_PER_MS));
    }

    /** Begins to drain: new requests are rejected, and those that arrive after the grace period are counted. */
    void drain() {
        EventLoops.runAndWait(loop, () -> drainedAtNanos = System.nanoTime());
    }

    /** Emulates a crash: connections are reset, requests in progress are lost, and new connections are refused. */
    void die() {
        EventLoops.runAndWait(loop, () -> {
            incarnation++;
            activeRequests = 0;
            queue.clear();
            listener.close();
            connections.forEach(connection -> {
                connection.config().setOption(ChannelOption.SO_LINGER, 0);
                connection.close();
            });
        });
    }

    /** Restarts the endpoint on its address, cold; if it is still running it crashes first. */
    void restart() {
        if (listener.isOpen()) {
            die();
        }
        listener.closeFuture().syncUninterruptibly();
        startedMs = System.currentTimeMillis();
        EventLoops.runAndWait(loop, () -> {
            fault = EndpointFault.NONE;
            stalledUntilNanos = System.nanoTime();
            drainedAtNanos = Long.MAX_VALUE;
            warmAtNanos = System.nanoTime() + (long) (settings.coldMs() * NANOS_PER_MS);
        });
        listen(address.getPort());
    }

    void close() {
        listener.close();
        connections.close();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ledger.received();
            String requestId = request.headers().get("X-Request-Id");
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (requestId == null || request.decoderResult().isFailure()) {
                write(ctx, answer(HttpResponseStatus.NOT_FOUND, "no request id\n"), false);
                return;
            }
            long nowNanos = System.nanoTime();
            boolean drained = drainedAtNanos != Long.MAX_VALUE;
            if (drained && nowNanos - drainedAtNanos > settings.drainGraceMs() * NANOS_PER_MS) {
                ledger.afterDrain();
            }
            if (drained || activeRequests >= settings.slots() && queue.size() >= settings.queue()) {
                ledger.turnedAway(id, requestId);
                FullHttpResponse rejection = answer(OVERLOADED, "not run\n");
                rejection.headers().set("X-Not-Run", "1");
                write(ctx, rejection, keepAlive);
                return;
            }
            ledger.ran(
                    id,
                    requestId,
                    request.method() == HttpMethod.POST && !request.headers().contains("Idempotency-Key"),
                    nowNanos < warmAtNanos);
            if (nowNanos < warmAtNanos) {
                ledger.cold();
            }
            if (activeRequests < settings.slots()) {
                work(ctx, requestId, keepAlive);
            } else {
                queue.add(() -> work(ctx, requestId, keepAlive));
            }
        }

        private void work(ChannelHandlerContext ctx, String requestId, boolean keepAlive) {
            activeRequests++;
            long nowNanos = System.nanoTime();
            double serviceMs = settings.service().draw(random)
                    * (fault == EndpointFault.SLOW ? SLOW_FACTOR : 1)
                    * (nowNanos < warmAtNanos ? settings.coldFactor() : 1);
            long untilNanos = Math.max(nowNanos + (long) (serviceMs * NANOS_PER_MS), stalledUntilNanos);
            int begunIn = incarnation;
            Runnable done = () -> {
                if (begunIn == incarnation) {
                    finish(ctx, requestId, keepAlive);
                }
            };
            if (untilNanos <= nowNanos) {
                done.run();
            } else {
                loop.schedule(done, untilNanos - nowNanos, TimeUnit.NANOSECONDS);
            }
        }

        private void finish(ChannelHandlerContext ctx, String requestId, boolean keepAlive) {
            long leftNanos = stalledUntilNanos - System.nanoTime();
            if (leftNanos > 0) {
                int begunIn = incarnation;
                loop.schedule(
                        () -> {
                            if (begunIn == incarnation) {
                                finish(ctx, requestId, keepAlive);
                            }
                        },
                        leftNanos,
                        TimeUnit.NANOSECONDS);
                return;
            }
            activeRequests--;
            reply(ctx, requestId, keepAlive);
            Runnable next = queue.poll();
            if (next != null) {
                next.run();
            }
        }

        private void reply(ChannelHandlerContext ctx, String requestId, boolean keepAlive) {
            switch (fault) {
                case HANGS -> {}
                case RESETS -> {
                    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    ctx.close();
                }
                case HALF -> raw(ctx, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true);
                case GARBLES -> raw(ctx, "220 mail.example ESMTP\r\n\r\n", true);
                case TWICE -> {
                    ledger.answered(id, requestId);
                    raw(
                            ctx,
                            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
                                    + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2",
                            false);
                }
                case ERRORS -> write(ctx, answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "error\n"), keepAlive);
                default -> {
                    ledger.answered(id, requestId);
                    write(ctx, answer(HttpResponseStatus.OK, requestId + "\n"), keepAlive);
                }
            }
        }

        private void raw(ChannelHandlerContext ctx, String bytes, boolean closeAfter) {
            ByteBuf out = Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
            // Bypasses the HTTP codec, which can't write invalid messages.
            var written = ctx.channel().pipeline().firstContext().writeAndFlush(out);
            if (closeAfter) {
                written.addListener(done -> ctx.close());
            }
        }

        private FullHttpResponse answer(HttpResponseStatus status, String body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers().set("Content-Length", body.length());
            return response;
        }

        private void write(ChannelHandlerContext ctx, FullHttpResponse answer, boolean keepAlive) {
            if (!keepAlive) {
                answer.headers().set("Connection", "close");
            }
            var written = ctx.writeAndFlush(answer);
            if (!keepAlive) {
                written.addListener(done -> ctx.close());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
