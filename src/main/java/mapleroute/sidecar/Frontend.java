package mapleroute.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpHeaders;
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
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import mapleroute.Contract.Request;
import mapleroute.Contract.Settings;

/** The listener for clients: parses requests, answers what is no request, writes the final answers. */
final class Frontend {

    static final String DEADLINE = "X-Deadline-Ms";
    private static final String ID = "X-Request-Id";
    private static final int BACKLOG = 1024;
    /** Requests that a client may send ahead of their answers on one connection. */
    private static final int MOST_AHEAD = 16;
    /** Connections above the bound that are still taken in, to refuse what they ask in good order. */
    private static final int OVERFLOW = 48;
    private static final double OVERFLOW_COOL_DOWN_MS = 1000;
    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
        HttpHeaderNames.PROXY_CONNECTION, "keep-alive", HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

    private final EventLoop loop;
    private final Clock clock;
    private final Complaints complaints;
    private final Exchange exchange;
    private final int most;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those with no request in hand, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    private Channel listener;
    private boolean warm;
    private boolean draining;

    Frontend(EventLoop loop, Clock clock, Complaints complaints, Exchange exchange, Settings settings,
            int most) {
        this.loop = loop;
        this.clock = clock;
        this.complaints = complaints;
        this.exchange = exchange;
        this.most = most;
        settings.classes().forEach(kind -> classes.put(kind.name(), classes.size()));
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenants.size()));
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel accepted) {
                    accepted.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(AnswerReader.MOST_BODY, true), new Connection(accepted));
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** The code has run often enough to be quick: from now on it may be used. */
    void warm() {
        warm = true;
    }

    /** From now on each answer is the last on its connection. */
    void drain() {
        draining = true;
    }

    /** Takes in no more, and lets go of the connections that wait for no answer. */
    void close() {
        listener.close();
        for (Connection connection : List.copyOf(idle)) {
            connection.channel.close();
        }
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    private void mindRoom() {
        if (connections.size() > most && !idle.isEmpty()) {
            idle.iterator().next().channel.close();
        }
        boolean room = connections.size() < most + OVERFLOW;
        if (!room) {
            complaints.log("no more connections are taken in", connections.size() + " are open");
        }
        listener.config().setAutoRead(room);
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        /** In the order of the requests, which is the order that HTTP asks answers to be in. */
        private final Deque<Reply> replies = new ArrayDeque<>();

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            mindRoom();
            idle.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.remove(this);
            mindRoom();
            for (Reply reply : List.copyOf(replies)) {
                if (reply.id != null && reply.response == null) {
                    exchange.clientGone(reply.id);
                }
            }
            replies.clear();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Reply reply = new Reply(this);
            replies.add(reply);
            idle.remove(this);
            channel.config().setAutoRead(replies.size() < MOST_AHEAD);
            if (request.decoderResult().isFailure()) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "malformed request", false);
                return;
            }
            reply.keepAlive = HttpUtil.isKeepAlive(request);
            int query = request.uri().indexOf('?');
            switch (query < 0 ? request.uri() : request.uri().substring(0, query)) {
                case "/api" -> api(reply, request);
                case "/health/ready" -> ready(reply);
                default -> reply.plain(HttpResponseStatus.NOT_FOUND, "unknown path", true);
            }
        }

        private void ready(Reply reply) {
            boolean ready = warm && !draining && exchange.knowsEndpoints();
            reply.plain(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                ready ? "ready" : draining ? "draining" : warm ? "no endpoint is known" : "starting", true);
        }

        private void api(Reply reply, FullHttpRequest request) {
            HttpHeaders headers = request.headers();
            String id = headers.get(ID);
            Integer kind = classes.get(headers.get("X-Class", ""));
            Integer tenant = tenants.isEmpty() ? Integer.valueOf(0)
                : tenants.get(headers.get("X-Tenant", ""));
            long deadline = deadline(headers.get(DEADLINE, ""));
            if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
                reply.plain(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET and POST are served", true);
            } else if (id == null || id.isEmpty()) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, ID + " is missing", true);
            } else if (kind == null) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "X-Class is missing or unknown", true);
            } else if (tenant == null) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "X-Tenant is missing or unknown", true);
            } else if (deadline < 0) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, DEADLINE + " is no whole number", true);
            } else if (exchange.has(id)) {
                reply.plain(HttpResponseStatus.CONFLICT, ID + " is that of a request in hand", true);
            } else if (connections.size() > most) {
                reply.keepAlive = false;
                reply.refused(OVERFLOW_COOL_DOWN_MS);
            } else {
                reply.id = id;
                exchange.request(new Request(id, kind, tenant, clock.now() + deadline,
                    "1".equals(headers.get("X-Retry"))), message(request), reply);
            }
        }

        private Exchange.Message message(FullHttpRequest request) {
            HttpHeaders headers = request.headers().copy();
            HOP_BY_HOP.forEach(headers::remove);
            byte[] body = ByteBufUtil.getBytes(request.content());
            if (body.length > 0) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            return new Exchange.Message(request.method(), request.uri(), headers, body);
        }

        /** Writes the answers that are there, as far as none before them is missing. */
        private void flush() {
            while (!replies.isEmpty() && replies.peek().response != null) {
                Reply reply = replies.poll();
                boolean last = draining || !reply.keepAlive;
                if (last) {
                    reply.response.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                ChannelFuture written = channel.writeAndFlush(reply.response);
                if (last) {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
            }
            if (replies.isEmpty() && connections.contains(this)) {
                idle.add(this);
            }
            channel.config().setAutoRead(replies.size() < MOST_AHEAD);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Clients come and go; only what is not the network's doing is worth a line.
            if (!(cause instanceof java.io.IOException)) {
                complaints.bug("connection of a client", cause);
            }
            ctx.close();
        }
    }

    /** The milliseconds, or -1 for what is no whole number of a sane size. */
    private static long deadline(String text) {
        if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }

    /** The answer that one request on a connection will get. */
    private static final class Reply implements Exchange.Client {
        private final Connection connection;
        private String id;
        private boolean keepAlive;
        private FullHttpResponse response;

        Reply(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void served(AnswerReader.Answer answer) {
            FullHttpResponse served = response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            if (answer.contentType() != null) {
                served.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            answer(served);
        }

        @Override
        public void turnedAway(int status) {
            plain(HttpResponseStatus.valueOf(status), "turned away", false);
        }

        @Override
        public void refused(double coolDownMs) {
            FullHttpResponse refusal = response(HttpResponseStatus.SERVICE_UNAVAILABLE, text("refused"));
            if (coolDownMs > 0) {
                refusal.headers().set(HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", coolDownMs / 1000));
            }
            answer(refusal);
        }

        @Override
        public void failed() {
            answer(response(HttpResponseStatus.BAD_GATEWAY, text("failed")));
        }

        void plain(HttpResponseStatus status, String why, boolean keep) {
            keepAlive &= keep;
            answer(response(status, text(why)));
        }

        private void answer(FullHttpResponse made) {
            response = made;
            connection.flush();
        }

        private static ByteBuf text(String line) {
            return Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII));
        }

        private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            return made;
        }
    }
}
