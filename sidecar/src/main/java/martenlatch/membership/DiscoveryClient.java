package martenlatch.membership;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import martenlatch.host.Complaints;
import martenlatch.host.ServerList;
import martenlatch.net.Buffers;

/**
 * Watches the list of endpoints, call after call, until a call fails. In which way to go on then is for
 * whoever listens: it calls {@link #watch} again.
 */
public final class DiscoveryClient {

    /** How long discovery is asked to wait for news. */
    private static final int WAIT_MS = 20_000;
    /** Silence for so long after that wait is a failure. */
    private static final int SILENCE_MS = 2_000;
    private static final int MOST_BODY = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final RegistryList.Names names;
    private final Complaints complaints;
    private final Bootstrap bootstrap;
    private ServerList.Listener listener;
    private InetSocketAddress address;
    /** What is known of the list at this address; none calls for the whole of it. */
    private OptionalLong version = OptionalLong.empty();
    private Channel channel;
    /** Set while a call is out. */
    private Future<?> silence;

    public DiscoveryClient(EventLoop loop, InetSocketAddress address, RegistryList.Names names,
            Complaints complaints) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.complaints = complaints;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, SILENCE_MS)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel fresh) {
                    fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY),
                        new Calls());
                }
            });
    }

    /** Who hears of lists, and which version is known already. */
    public void listen(ServerList.Listener hearer, long known) {
        listener = hearer;
        version = OptionalLong.of(known);
    }

    /** As below, at once. */
    public void move(InetSocketAddress to) {
        move(to, 0);
    }

    /**
     * Goes on at another address, without a word of failure. Versions are counted anew there, so it is asked
     * for the whole list.
     *
     * @param afterMs when: where a fleet is moved together, and each asks for the whole list at once, most of
     *     them are refused
     */
    public void move(InetSocketAddress to, double afterMs) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = OptionalLong.empty();
        callEnded();
        dropConnection();
        if (afterMs <= 0) {
            watch();
        } else {
            loop.schedule(this::watch, (long) (afterMs * 1000), TimeUnit.MICROSECONDS);
        }
    }

    /** Starts a watch; one that is on goes on, and its next answer serves for both. */
    public void watch() {
        if (silence != null) {
            return;
        }
        silence = loop.schedule(() -> fail("no answer in time"),
            (version.isPresent() ? WAIT_MS : 0) + SILENCE_MS, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            ask();
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
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
        FullHttpRequest call = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/registry/instances" + (version.isPresent()
                ? "?index=" + version.getAsLong() + "&wait=" + WAIT_MS : ""), Unpooled.EMPTY_BUFFER);
        call.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(call);
    }

    private void fail(Object why) {
        dropConnection();
        if (callEnded()) {
            complaints.log("discovery failed", why);
            listener.failed();
        }
    }

    private void dropConnection() {
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    /** No call is out from here on; true if one was. */
    private boolean callEnded() {
        if (silence == null) {
            return false;
        }
        silence.cancel(false);
        silence = null;
        return true;
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || silence == null) {
                ctx.close();
                return;
            }
            if (answer.status().code() != 200 || answer.decoderResult().isFailure()) {
                fail("status " + answer.status().code());
                return;
            }
            ServerList list;
            try {
                list = RegistryList.parse(ByteBufUtil.getBytes(answer.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                fail(e.getMessage());
                return;
            }
            callEnded();
            version = OptionalLong.of(list.version());
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            // The next call goes out first: it must come soon after the answer for the watch to go on.
            watch();
            listener.listed(list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
