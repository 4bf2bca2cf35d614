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
 * The operators' address: HTTP/1.1, one call a connection. Who says nothing, or half of a call, neither
 * keeps others out nor stays for long.
 */
public final class AdminServer {

    /** Connections at once; a new one above it ends the oldest that has made no whole call. */
    public static final int MOST = 16;
    /** Operators are owed an answer within a second: a call is whole by then, or gets an error. */
    private static final int WHOLE_MS = 800;

    private static final int MOST_BODY = 4096;
    private static final int MOST_LINE = 2048;
    private static final int MOST_HEAD = 4096;

    private final EventLoop loop;
    private final Operations operations;
    /** Those that have made no whole call yet, the oldest first. */
    private final Set<Channel> silent = new LinkedHashSet<>();

    private int open;
    private Channel listener;

    public AdminServer(EventLoop loop, Operations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Listens for calls. */
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
                                        new HttpServerCodec(MOST_LINE, MOST_HEAD, MOST_BODY),
                                        new HttpObjectAggregator(MOST_BODY, true),
                                        new Call());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Takes in no more calls. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open++;
            silent.add(ctx.channel());
            if (open > MOST) {
                silent.iterator().next().close();
            }
            loop.schedule(
                    () -> {
                        if (silent.contains(ctx.channel())) {
                            answer(ctx, Operations.Reply.no(408, "no whole call in time"));
                        }
                    },
                    WHOLE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            silent.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (answered || !silent.remove(ctx.channel())) {
                return;
            }
            if (call.decoderResult().isFailure()) {
                answer(ctx, Operations.Reply.no(400, "malformed call"));
                return;
            }
            int query = call.uri().indexOf('?');
            operations.call(
                    call.method().name(),
                    query < 0 ? call.uri() : call.uri().substring(0, query),
                    ByteBufUtil.getBytes(call.content()),
                    reply -> answer(ctx, reply));
        }

        private void answer(ChannelHandlerContext ctx, Operations.Reply reply) {
            silent.remove(ctx.channel());
            if (answered) {
                return;
            }
            answered = true;
            byte[] body = (reply.json() + "\n").getBytes(StandardCharsets.UTF_8);
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(body));
            made.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(made).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
