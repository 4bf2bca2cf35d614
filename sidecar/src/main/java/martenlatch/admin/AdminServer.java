package martenlatch.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import martenlatch.net.Buffers;

/**
 * The HTTP/1.1 server of the admin API, with one call per connection. A connection without a complete call can neither
 * block other callers nor stay open for long: it is closed after a timeout, or earlier if there are too many.
 */
public final class AdminServer {

    /** The maximum number of connections; a new one beyond it closes the oldest one without a complete call. */
    public static final int MAX_CONNECTIONS = 16;
    /**
     * Operators expect a response within 1 s, so a call that is not complete within this time gets an error response.
     */
    private static final int CALL_TIMEOUT_MS = 800;

    private static final int MAX_BODY_BYTES = 4096;
    private static final int MAX_REQUEST_LINE_BYTES = 2048;
    private static final int MAX_HEADERS_BYTES = 4096;

    private final EventLoop loop;
    private final AdminOperations operations;
    /** Connections that have not sent a complete call yet, oldest first. */
    private final Set<Channel> awaitingCall = new LinkedHashSet<>();

    private int openConnections;
    private Channel listener;

    /** Creates a server that is not listening yet. */
    public AdminServer(EventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Starts listening for calls; the returned future reports whether that succeeded. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADERS_BYTES, MAX_BODY_BYTES),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                        new CallHandler());
                    }
                })
                .bind(address);
        listener = binding.channel();
        return binding;
    }

    /** Stops accepting connections. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    /** Handles the single call of a connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean responded;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            openConnections++;
            awaitingCall.add(ctx.channel());
            if (openConnections > MAX_CONNECTIONS) {
                awaitingCall.iterator().next().close();
            }
            loop.schedule(
                    () -> {
                        if (awaitingCall.contains(ctx.channel())) {
                            respond(ctx, AdminResponse.error(408, "no whole call in time"));
                        }
                    },
                    CALL_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections--;
            awaitingCall.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (responded || !awaitingCall.remove(ctx.channel())) {
                return;
            }
            if (call.decoderResult().isFailure()) {
                respond(ctx, AdminResponse.error(400, "malformed call"));
                return;
            }
            int queryStart = call.uri().indexOf('?');
            operations.call(
                    call.method().name(),
                    queryStart < 0 ? call.uri() : call.uri().substring(0, queryStart),
                    ByteBufUtil.getBytes(call.content()),
                    response -> respond(ctx, response));
        }

        private void respond(ChannelHandlerContext ctx, AdminResponse response) {
            awaitingCall.remove(ctx.channel());
            if (responded) {
                return;
            }
            responded = true;
            byte[] body = (response.json() + "\n").getBytes(StandardCharsets.UTF_8);
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(body));
            message.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
