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
 * One endpoint, as the protocol's page has it. It works on so many requests at once, keeps some more in a
 * queue and turns the rest away; it is slow while it is cold. All of it runs on one event loop; what is asked
 * of it from outside goes there.
 */
public final class Endpoint {

    private static final int MOST_BODY = 64 * 1024;
    private static final int SLOWNESS = 10;
    private static final double NANOS_IN_MS = 1e6;
    private static final HttpResponseStatus OVER = HttpResponseStatus.SERVICE_UNAVAILABLE;

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
    private EndpointFault trouble = EndpointFault.NONE;
    private long stalledUntil = System.nanoTime();
    private long drainedAt = Long.MAX_VALUE;
    private long warmAt = System.nanoTime();
    private int working;
    /** What was begun before a death ends nowhere. */
    private int life;

    Endpoint(String id, String zone, EventLoop loop, WorldSettings settings, Ledger ledger, long seed) {
        this.id = id;
        this.zone = zone;
        this.loop = loop;
        this.settings = settings;
        this.ledger = ledger;
        random = new SplittableRandom(seed);
        connections = new DefaultChannelGroup(loop);
    }

    /** Listens, at the same address as before if there was one. */
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
                        if (trouble == EndpointFault.DEAF) {
                            accepted.config().setAutoRead(false);
                        }
                        accepted.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Requests());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Its name in lists. */
    public String id() {
        return id;
    }

    public String zone() {
        return zone;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** When it last started, Unix time in milliseconds; 0 for long ago. */
    public long startedMs() {
        return startedMs;
    }

    /** How many connections it has accepted so far. */
    public int accepts() {
        return accepts.get();
    }

    /** What it does from now on. */
    public void trouble(EndpointFault next) {
        EventLoops.runAndWait(loop, () -> trouble = next);
    }

    /** Answers nothing for so long, then all at once; it goes on taking requests and working on them. */
    public void stall(double ms) {
        EventLoops.runAndWait(loop, () -> stalledUntil = System.nanoTime() + (long) (ms * NANOS_IN_MS));
    }

    /** It has been told to drain: after the grace nothing new may come. */
    void drain() {
        EventLoops.runAndWait(loop, () -> drainedAt = System.nanoTime());
    }

    /** Its process dies: connections are reset, what it worked on is lost, new ones are refused. */
    void die() {
        EventLoops.runAndWait(loop, () -> {
            life++;
            working = 0;
            queue.clear();
            listener.close();
            connections.forEach(one -> {
                one.config().setOption(ChannelOption.SO_LINGER, 0);
                one.close();
            });
        });
    }

    /** It starts again at its address, cold; if it still lives it dies first. */
    void restart() {
        if (listener.isOpen()) {
            die();
        }
        listener.closeFuture().syncUninterruptibly();
        startedMs = System.currentTimeMillis();
        EventLoops.runAndWait(loop, () -> {
            trouble = EndpointFault.NONE;
            stalledUntil = System.nanoTime();
            drainedAt = Long.MAX_VALUE;
            warmAt = System.nanoTime() + (long) (settings.coldMs() * NANOS_IN_MS);
        });
        listen(address.getPort());
    }

    void close() {
        listener.close();
        connections.close();
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ledger.received();
            String name = request.headers().get("X-Request-Id");
            boolean keep = HttpUtil.isKeepAlive(request);
            if (name == null || request.decoderResult().isFailure()) {
                write(ctx, answer(HttpResponseStatus.NOT_FOUND, "no request id\n"), false);
                return;
            }
            long now = System.nanoTime();
            boolean drained = drainedAt != Long.MAX_VALUE;
            if (drained && now - drainedAt > settings.drainGraceMs() * NANOS_IN_MS) {
                ledger.afterDrain();
            }
            if (drained || working >= settings.slots() && queue.size() >= settings.queue()) {
                ledger.turnedAway(id, name);
                FullHttpResponse away = answer(OVER, "not run\n");
                away.headers().set("X-Not-Run", "1");
                write(ctx, away, keep);
                return;
            }
            ledger.ran(
                    id,
                    name,
                    request.method() == HttpMethod.POST && !request.headers().contains("Idempotency-Key"),
                    now < warmAt);
            if (now < warmAt) {
                ledger.cold();
            }
            if (working < settings.slots()) {
                work(ctx, name, keep);
            } else {
                queue.add(() -> work(ctx, name, keep));
            }
        }

        private void work(ChannelHandlerContext ctx, String name, boolean keep) {
            working++;
            long now = System.nanoTime();
            double ms = settings.service().draw(random)
                    * (trouble == EndpointFault.SLOW ? SLOWNESS : 1)
                    * (now < warmAt ? settings.coldFactor() : 1);
            long until = Math.max(now + (long) (ms * NANOS_IN_MS), stalledUntil);
            int begun = life;
            Runnable done = () -> {
                if (begun == life) {
                    finish(ctx, name, keep);
                }
            };
            if (until <= now) {
                done.run();
            } else {
                loop.schedule(done, until - now, TimeUnit.NANOSECONDS);
            }
        }

        private void finish(ChannelHandlerContext ctx, String name, boolean keep) {
            long left = stalledUntil - System.nanoTime();
            if (left > 0) {
                int begun = life;
                loop.schedule(
                        () -> {
                            if (begun == life) {
                                finish(ctx, name, keep);
                            }
                        },
                        left,
                        TimeUnit.NANOSECONDS);
                return;
            }
            working--;
            reply(ctx, name, keep);
            Runnable next = queue.poll();
            if (next != null) {
                next.run();
            }
        }

        private void reply(ChannelHandlerContext ctx, String name, boolean keep) {
            switch (trouble) {
                case HANGS -> {}
                case RESETS -> {
                    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    ctx.close();
                }
                case HALF -> raw(ctx, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true);
                case GARBLES -> raw(ctx, "220 mail.example ESMTP\r\n\r\n", true);
                case TWICE -> {
                    ledger.answered(id, name);
                    raw(
                            ctx,
                            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
                                    + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2",
                            false);
                }
                case ERRORS -> write(ctx, answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "error\n"), keep);
                default -> {
                    ledger.answered(id, name);
                    write(ctx, answer(HttpResponseStatus.OK, name + "\n"), keep);
                }
            }
        }

        private void raw(ChannelHandlerContext ctx, String bytes, boolean last) {
            ByteBuf out = Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
            // Past the codec, which would not write such things.
            var written = ctx.channel().pipeline().firstContext().writeAndFlush(out);
            if (last) {
                written.addListener(done -> ctx.close());
            }
        }

        private FullHttpResponse answer(HttpResponseStatus status, String body) {
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            made.headers().set("Content-Length", body.length());
            return made;
        }

        private void write(ChannelHandlerContext ctx, FullHttpResponse answer, boolean keep) {
            if (!keep) {
                answer.headers().set("Connection", "close");
            }
            var written = ctx.writeAndFlush(answer);
            if (!keep) {
                written.addListener(done -> ctx.close());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
