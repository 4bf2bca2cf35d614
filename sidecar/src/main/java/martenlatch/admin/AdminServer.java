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
 * The operators' address: HTTP/1.1, one call a connection. A client that sends nothing, or half of a call, neither
 * keeps others out nor stays for long.
 */
public final class AdminServer {

    /** The largest number of connections; a new one above it closes the oldest without a complete call. */
    public static final int MAX_CONNECTIONS = 16;
    /** Operators get a response within a second: a call is complete by then, or gets an error. */
    private static final int CALL_TIMEOUT_MS = 800;

    private static final int MAX_BODY_BYTES = 4096;
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_HEADER_BYTES = 4096;

    private final EventLoop loop;
    private final AdminOperations operations;
    /** Connections without a complete call yet, the oldest first. */
    private final Set<Channel> incomplete = new LinkedHashSet<>();

    private int open;
    private Channel listener;

    /** Creates a server that does not listen yet. */
    public AdminServer(EventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Listens for calls; the future tells whether that was possible. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                        new CallHandler());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Accepts no more calls. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open++;
            incomplete.add(ctx.channel());
            if (open > MAX_CONNECTIONS) {
                incomplete.iterator().next().close();
            }
            loop.schedule(
                    () -> {
                        if (incomplete.contains(ctx.channel())) {
                            respond(ctx, AdminResponse.error(408, "no whole call in time"));
                        }
                    },
                    CALL_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            incomplete.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (answered || !incomplete.remove(ctx.channel())) {
                return;
            }
            if (call.decoderResult().isFailure()) {
                respond(ctx, AdminResponse.error(400, "malformed call"));
                return;
            }
            int query = call.uri().indexOf('?');
            operations.call(
                    call.method().name(),
                    query < 0 ? call.uri() : call.uri().substring(0, query),
                    ByteBufUtil.getBytes(call.content()),
                    response -> respond(ctx, response));
        }

        private void respond(ChannelHandlerContext ctx, AdminResponse response) {
            incomplete.remove(ctx.channel());
            if (answered) {
                return;
            }
            answered = true;
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
