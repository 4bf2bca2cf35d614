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
import martenlatch.net.Buffers;
import martenlatch.request.EndpointList;
import martenlatch.request.Scheduler;

/** Polls at one address of discovery, over HTTP/1.1: one poll at a time, on one connection at a time. */
final class DiscoveryConnection {

    /** Hears what comes of polls, by their numbers. */
    interface Listener {
        /** The first bytes of a response have come. */
        void onResponseStarted(long poll);

        /** A list has come. */
        void onList(long poll, EndpointList list);

        /** A poll has failed; its connection is closed. */
        void onFailure(long poll, Object cause);
    }

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /**
     * Discovery may close a connection just after its response, and the next poll may cross that: within this time it
     * is sent again at once, while the watch continues by the protocol. Later the end of a connection is discovery's
     * doing, and those who see it must not come back together.
     */
    private static final double CONNECTION_RACE_MS = 200;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final InetSocketAddress address;
    private final EndpointListDecoder.Names names;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** Null while no poll is outstanding. */
    private Poll outstanding;
    /** Until then the end of the connection says nothing about the poll that was written to it. */
    private double raceUntilMs;

    DiscoveryConnection(
            EventLoop loop,
            Scheduler scheduler,
            InetSocketAddress address,
            EndpointListDecoder.Names names,
            Listener listener) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.address = address;
        this.names = names;
        this.listener = listener;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PollTiming.CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new ResponseStartHandler(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    /** Sends a poll, on the connection that stands, or on a new one. */
    void send(Poll poll) {
        outstanding = poll;
        if (channel != null && channel.isActive()) {
            raceUntilMs = scheduler.now() + CONNECTION_RACE_MS;
            write();
            return;
        }
        connect(poll);
    }

    private void connect(Poll poll) {
        raceUntilMs = 0;
        ChannelFuture connecting = bootstrap.connect(address);
        if (connecting.isDone() && !connecting.isSuccess()) {
            // No descriptor is left: no event loop would report it, and it must not be reported from within this call.
            loop.execute(() -> {
                if (outstanding != null && outstanding.number() == poll.number()) {
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
                write();
            } else {
                fail(connected.cause());
            }
        });
    }

    private void write() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, outstanding.path(), Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** The connection has ended under an outstanding poll. */
    private void onConnectionEnded(Object cause) {
        if (outstanding != null && scheduler.now() < raceUntilMs) {
            channel = null;
            connect(outstanding);
        } else {
            fail(cause);
        }
    }

    private void fail(Object cause) {
        Poll failed = outstanding;
        close();
        if (failed != null) {
            listener.onFailure(failed.number(), cause);
        }
    }

    /** Gives up the outstanding poll, if there is one, and the connection. */
    void close() {
        outstanding = null;
        if (channel != null) {
            Channel closed = channel;
            channel = null;
            closed.close();
        }
    }

    /** Sees the first bytes of a response, long before it is complete. */
    private final class ResponseStartHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (ctx.channel() == channel && outstanding != null) {
                raceUntilMs = 0;
                listener.onResponseStarted(outstanding.number());
            }
            ctx.fireChannelRead(bytes);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || outstanding == null) {
                ctx.close();
                return;
            }
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                fail("status " + response.status().code());
                return;
            }
            EndpointList list;
            try {
                list = EndpointListDecoder.parse(ByteBufUtil.getBytes(response.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                fail(e.getMessage());
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                ctx.close();
            }
            Poll answered = outstanding;
            outstanding = null;
            listener.onList(answered.number(), list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                onConnectionEnded("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel && cause instanceof IOException) {
                onConnectionEnded(cause);
            } else if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
