package martenlatch.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import martenlatch.net.Buffers;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/** Carries the calls of a watch on the list of endpoints out, over one connection at a time. */
public final class DiscoveryClient implements EndpointListWatcher.Line {

    private static final int MOST_BODY = 4 * 1024 * 1024;
    /**
     * A connection that has answered may be closed behind its answer, and the next call cross that: it is
     * made again at once, while the watch goes on by the protocol. Later a connection's end is discovery's,
     * and who hears of it must not come back together with all others.
     */
    private static final double CROSSED_MS = 200;

    private final EventLoop loop;
    private final Scheduler time;
    private final EndpointListDecoder.Names names;
    private final EndpointListWatcher watch;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private Channel channel;
    /** The call that is out, or null. */
    private EndpointListWatcher.Call out;
    /** Until when the end of the connection says nothing of the call that is out on it. */
    private double crossedUntil;

    public DiscoveryClient(
            EventLoop loop,
            Scheduler time,
            InetSocketAddress address,
            EndpointListDecoder.Names names,
            RateLimitedLogger complaints,
            Supplier<PollTiming> pace) {
        this.loop = loop;
        this.time = time;
        this.address = address;
        this.names = names;
        watch = new EndpointListWatcher(time, this, complaints, pace);
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, EndpointListWatcher.SILENCE_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new Start(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MOST_BODY),
                                        new Calls());
                    }
                });
    }

    /** Who hears of lists, and which version is known already. */
    public void listen(EndpointList.Listener hearer, long known) {
        watch.listen(hearer, known);
    }

    /** Starts a watch; one that is on goes on. */
    public void watch() {
        watch.watch();
    }

    /** As below, at once. */
    public void move(InetSocketAddress to) {
        move(to, 0);
    }

    /** Goes on at another address, after so many milliseconds; at the one that it has nothing changes. */
    public void move(InetSocketAddress to, double afterMs) {
        if (!to.equals(address)) {
            address = to;
            watch.moved(afterMs);
        }
    }

    @Override
    public void call(EndpointListWatcher.Call call) {
        out = call;
        if (channel != null && channel.isActive()) {
            crossedUntil = time.now() + CROSSED_MS;
            ask();
            return;
        }
        connect(call);
    }

    private void connect(EndpointListWatcher.Call call) {
        crossedUntil = 0;
        ChannelFuture connecting = bootstrap.connect(address);
        if (connecting.isDone() && !connecting.isSuccess()) {
            // There is no descriptor for it, and no event loop that would tell; nor is it told from within.
            loop.execute(() -> {
                if (out == call) {
                    fail(connecting.cause());
                }
            });
            return;
        }
        channel = connecting.channel();
        connecting.addListener(connected -> {
            if (connecting.channel() != channel) {
                return;
            }
            if (connected.isSuccess()) {
                ask();
            } else {
                fail(connected.cause());
            }
        });
    }

    private void ask() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, out.path(), Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** The connection has ended with a call out on it. */
    private void ended(Object why) {
        if (out != null && time.now() < crossedUntil) {
            channel = null;
            connect(out);
        } else {
            fail(why);
        }
    }

    private void fail(Object why) {
        EndpointListWatcher.Call failed = out;
        drop();
        if (failed != null) {
            watch.failed(failed.number(), why);
        }
    }

    @Override
    public void drop() {
        out = null;
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    /** Sees the first bytes of an answer, long before it is whole. */
    private final class Start extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (ctx.channel() == channel && out != null) {
                crossedUntil = 0;
                watch.begun(out.number());
            }
            ctx.fireChannelRead(bytes);
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || out == null) {
                ctx.close();
                return;
            }
            if (answer.status().code() != 200 || answer.decoderResult().isFailure()) {
                fail("status " + answer.status().code());
                return;
            }
            EndpointList list;
            try {
                list = EndpointListDecoder.parse(ByteBufUtil.getBytes(answer.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                fail(e.getMessage());
                return;
            }
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            EndpointListWatcher.Call answered = out;
            out = null;
            watch.answered(answered.number(), list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                ended("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel && cause instanceof IOException) {
                ended(cause);
            } else if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
