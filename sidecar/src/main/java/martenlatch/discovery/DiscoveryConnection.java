package martenlatch.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import martenlatch.net.Buffers;
import martenlatch.request.EndpointList;
import martenlatch.request.Scheduler;

/** Sends polls to one discovery address over HTTP/1.1, one poll at a time on one connection at a time. */
final class DiscoveryConnection {

    /** Receives the results of polls, identified by their numbers. */
    interface Listener {
        /** Called when bytes of a response arrive, before the response is complete. */
        void onResponseBytes(long poll, int count);

        /** Called when the connection of a poll was lost and the poll was sent again on a new one. */
        void onResent(long poll);

        /** Called when a complete endpoint list has arrived; the poll is finished. */
        void onList(long poll, EndpointList list);

        /** Called when a poll has failed; its connection is closed. */
        void onFailure(long poll, Object cause);
    }

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /**
     * The time after writing a poll to a reused connection during which the end of that connection does not fail the
     * poll. Discovery may close a connection just after its response, so the next poll can race with the close; it is
     * then resent at once on a new connection. After this time the poll fails and the caller waits before it polls
     * again, because all clients whose connections ended together would otherwise reconnect together.
     */
    private static final double CLOSE_RACE_MS = 200;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final InetSocketAddress address;
    private final EndpointListDecoder.Names names;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** The outstanding poll, or null if there is none. */
    private Poll outstanding;
    /** Until this time the end of the connection causes the outstanding poll to be resent; 0 for none. */
    private double closeRaceUntilMs;

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
                    protected void initChannel(SocketChannel newChannel) {
                        newChannel
                                .pipeline()
                                .addLast(
                                        new ResponseProgressHandler(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    /** Sends a poll on the open connection, or on a new one if there is none. */
    void send(Poll poll) {
        outstanding = poll;
        if (channel != null && channel.isActive()) {
            closeRaceUntilMs = scheduler.now() + CLOSE_RACE_MS;
            write();
            return;
        }
        connect(poll);
    }

    private void connect(Poll poll) {
        closeRaceUntilMs = 0;
        ChannelFuture connectFuture = bootstrap.connect(address);
        if (connectFuture.isDone() && !connectFuture.isSuccess()) {
            // The process has no file descriptor left, so no channel was registered and the listener below would not be
            // notified on the event loop. The failure is reported later because send() must not call back
            // synchronously.
            loop.execute(() -> {
                if (outstanding != null && outstanding.number() == poll.number()) {
                    fail(connectFuture.cause());
                }
            });
            return;
        }
        channel = connectFuture.channel();
        connectFuture.addListener(connected -> {
            if (connectFuture.channel() != channel) {
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

    /** Resends the outstanding poll if the connection ended in a close race; otherwise fails the poll. */
    private void onConnectionEnded(Object cause) {
        if (outstanding != null && scheduler.now() < closeRaceUntilMs) {
            channel = null;
            outstanding = outstanding.forResending();
            listener.onResent(outstanding.number());
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

    /** Aborts the outstanding poll, if there is one, and closes the connection. */
    void close() {
        outstanding = null;
        if (channel != null) {
            Channel closed = channel;
            channel = null;
            closed.close();
        }
    }

    /** Reports the bytes of a response as they arrive, which may be long before the aggregated response. */
    private final class ResponseProgressHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (ctx.channel() == channel && outstanding != null) {
                closeRaceUntilMs = 0;
                listener.onResponseBytes(outstanding.number(), ((ByteBuf) bytes).readableBytes());
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Decodes complete responses and reports failures of the connection. */
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
                onConnectionEnded(new EOFException("the connection ended"));
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
