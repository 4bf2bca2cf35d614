package martenlatch.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenlatch.front.CallReader;
import martenlatch.net.Buffers;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RemainingBody;
import martenlatch.request.RequestTracker;
import martenlatch.request.ResponseListener;
import martenlatch.request.Scheduler;
import martenlatch.upstream.EndpointPool;
import martenlatch.upstream.Upload;

/** The listener for clients: takes their requests, turns away what is none, writes the final answers. */
public final class Frontend {

    private static final int BACKLOG = 1024;
    /** Requests that a client may send ahead of their answers on one connection. */
    private static final int MOST_AHEAD = 8;
    /** Connections above the bound that are still taken in, to refuse what they ask in good order. */
    public static final int OVERFLOW = 16;

    private static final double OVERFLOW_COOL_DOWN_MS = 1000;
    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "proxy-connection",
            "keep-alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private final EventLoop loop;
    private final Scheduler time;
    private final RateLimitedLogger complaints;
    private final RequestTracker exchange;
    private final int most;
    private CallReader calls;
    private final EndpointPool endpoints;
    private final BodyRoom room = new BodyRoom(Runtime.getRuntime().maxMemory());
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those that have asked for nothing yet or have had their last answer, the oldest first. */
    private final Set<Connection> expendable = new LinkedHashSet<>();
    /** Those with no request in hand, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();

    private ClientListener listener;
    private boolean warm;
    /** Ends for good, with or without another process that goes on at this address. */
    private boolean stopping;

    private boolean hasHeir;
    /** Sends its clients away, until it is told otherwise. */
    private boolean away;
    /** Each answer is the last on its connection. */
    private boolean finishing;

    private double endsAt = Double.POSITIVE_INFINITY;

    public Frontend(
            EventLoop loop,
            Scheduler time,
            RateLimitedLogger complaints,
            RequestTracker exchange,
            EndpointPool endpoints,
            BalancerSettings settings,
            int most) {
        this.loop = loop;
        this.time = time;
        this.complaints = complaints;
        this.exchange = exchange;
        this.most = most;
        this.endpoints = endpoints;
        calls = new CallReader(settings);
    }

    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(ClientListener::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                // During an upgrade the old process and the new one listen at once.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.reads())
                .childOption(ChannelOption.SO_SNDBUF, Buffers.SYSTEM)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        new Connection(accepted).addTo(accepted.pipeline());
                    }
                })
                .bind(address);
        listener = (ClientListener) bound.channel();
        bound.addListener(at -> listener.pipeline().addLast(new Refusals()));
        return bound;
    }

    /**
     * Hears why nobody could be taken in, which is mostly that no descriptor is left: told here, as the log
     * of the library below needs a descriptor for its first line, and without one ends the event loop.
     */
    private final class Refusals extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            complaints.log("no connection is taken in", cause);
        }
    }

    /** The code has run often enough to be quick: from now on it may be used. */
    public void warm() {
        warm = true;
    }

    /** Requests from here on are read by these settings. */
    public void retune(BalancerSettings settings) {
        calls = new CallReader(settings);
    }

    /** Whether clients may come. */
    public boolean isReady() {
        boolean listens = listener != null && listener.isActive();
        return warm && !away && (stopping ? hasHeir : listens) && exchange.knowsEndpoints();
    }

    /**
     * Goes on, but each request, those in hand among them, has its answer by then; it is not ready for more.
     */
    public void drain(double leftMs) {
        stopping = true;
        endsAt = time.now() + leftMs;
        exchange.capDeadlines(endsAt);
    }

    /**
     * As {@link #drain}, where another process serves at this address: who connects from here on meets that
     * one, and who is connected here goes there after the next answer.
     */
    public void handOver(double leftMs) {
        drain(leftMs);
        hasHeir = true;
        finishing = true;
        closeListener();
    }

    /**
     * Sends clients away, or takes them again: away is not ready, and each answer is the last on its
     * connection. The listener stays, as the last ones are still coming, and who asks whether this sidecar
     * is ready.
     */
    public void away(boolean now) {
        away = now;
        if (!stopping) {
            finishing = now;
        }
    }

    /** Takes in those that wait to be accepted, and no more. */
    public void closeListener() {
        listener.closeEmpty();
    }

    /**
     * From now on each answer is the last on its connection; those that wait for none are let go. Who is in
     * the middle of asking is not: its last byte may be on its way. Where this sidecar stops it has until all
     * is to be answered; what has not become whole by then was never taken.
     */
    public void finish() {
        finishing = true;
        letGo(true);
        if (stopping && !hasHeir) {
            time.after(endsAt - time.now(), () -> letGo(false));
        }
    }

    private void letGo(boolean patient) {
        for (Connection connection : List.copyOf(connections)) {
            if (connection.mayGo(patient)) {
                connection.guard.readNow();
            }
            if (connection.mayGo(patient)) {
                connection.channel.close();
            }
        }
    }

    /** Takes in no more, and lets go of the connections that wait for no answer. */
    public void close() {
        if (listener != null) {
            closeListener();
        }
        finish();
    }

    /** What bodies that were collected hold of their room, in bytes; none when all is answered. */
    public long bodyRoomTaken() {
        return room.taken();
    }

    /** Whether nobody is left, nor can come any more: who waits to be accepted has to be taken in first. */
    public boolean isEmpty() {
        return connections.isEmpty() && !listener.isOpen();
    }

    /** Makes room for a new connection, if there is none; first those go that never asked for anything. */
    private boolean makeRoom() {
        while (connections.size() > most) {
            Set<Connection> first = expendable.isEmpty() ? idle : expendable;
            if (first.isEmpty()) {
                return false;
            }
            Connection gone = first.iterator().next();
            first.remove(gone);
            gone.guard.readNow();
            if (gone.replies.isEmpty()) {
                connections.remove(gone);
                gone.channel.close();
            }
        }
        return true;
    }

    private void mindAccepting() {
        boolean room = connections.size() < most + OVERFLOW;
        if (!room) {
            complaints.log("no more connections are taken in", connections.size() + " are open");
        }
        listener.config().setAutoRead(room);
    }

    private final class Connection extends SimpleChannelInboundHandler<Object> implements Upload.Source {
        private final SocketChannel channel;
        private final ClientGuard guard;
        private final RequestReader reader;
        /** In the order of the requests, which is the order that HTTP asks answers to be in. */
        private final Deque<Reply> replies = new ArrayDeque<>();
        /** There was no room for it: it is told to come back later. */
        private boolean surplus;

        private boolean hasAsked;
        /** The request whose body is still coming, and whether it comes faster than it can be passed on. */
        private Reply coming;

        private boolean bodyPaused;
        /** The request that was coming has had its answer before its end. */
        private boolean bodyCut;
        /** The answer that is being passed on; it stands first among the replies. */
        private Reply passing;
        /** The last answer is on its way. */
        private boolean ending;
        /** Requests that were read and are not with the exchange yet. */
        private final Deque<Arrival> arrivals = new ArrayDeque<>();

        Connection(SocketChannel channel) {
            this.channel = channel;
            guard = new ClientGuard(channel);
            reader = new RequestReader(guard, room, this);
        }

        /** Whether nobody waits for anything on it; the {@code patient} also let a client finish asking. */
        private boolean mayGo(boolean patient) {
            return replies.isEmpty() && !ending && !(patient && guard.isInRequest());
        }

        void addTo(ChannelPipeline pipeline) {
            pipeline.addLast(guard, new HttpRequestDecoder(), new HttpResponseEncoder(), reader, this);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            surplus = !makeRoom();
            expendable.add(this);
            mindAccepting();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            expendable.remove(this);
            idle.remove(this);
            mindAccepting();
            drop();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (message == RequestReader.ALL_CAME) {
                Reply whole = coming;
                coming = null;
                guard.requestTaken();
                exchange.onRequestComplete(whole.id, endsAt);
                return;
            }
            if (message instanceof RequestReader.Refusal refusal && coming != null) {
                // Its body does not come to an end: no endpoint has had the whole of it.
                Reply broken = coming;
                exchange.onClientDisconnected(broken.id);
                broken.giveUp(refusal.status(), refusal.why());
                return;
            }
            Reply reply = new Reply(this);
            replies.add(reply);
            expendable.remove(this);
            idle.remove(this);
            if (!(message instanceof RequestReader.Begun)) {
                guard.requestTaken();
            }
            mindReading();
            if (message instanceof RequestReader.Whole whole) {
                reply.bodySize = whole.body().length;
            }
            if (message instanceof RequestReader.Refusal refusal) {
                reply.giveUp(refusal.status(), refusal.why());
            } else if (replies.size() > MOST_AHEAD) {
                reply.giveUp(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");
            } else if (message instanceof RequestReader.Begun begun) {
                coming = reply;
                take(reply, begun.head(), new byte[0], begun.upload());
            } else {
                RequestReader.Whole whole = (RequestReader.Whole) message;
                take(reply, whole.head(), whole.body(), null);
            }
        }

        @Override
        public void pause(boolean paused) {
            bodyPaused = paused;
            mindReading();
        }

        @Override
        public void goOn() {
            // Not among the answers to earlier requests: the client goes on by itself after a while.
            if (replies.isEmpty() || replies.peek() == coming) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private void take(Reply reply, HttpRequest request, byte[] body, Upload upload) {
            reply.keepAlive = HttpUtil.isKeepAlive(request);
            reply.knowsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
            int query = request.uri().indexOf('?');
            switch (query < 0 ? request.uri() : request.uri().substring(0, query)) {
                case "/api" -> api(reply, request, body, upload);
                case "/health/ready" -> ready(reply);
                default -> reply.plain(HttpResponseStatus.NOT_FOUND, "unknown path");
            }
        }

        /**
         * What comes is read in any case, for the end behind it; only a body that is passed on has to wait
         * where it is, and who stops reading in its middle has sent no request yet.
         */
        private void mindReading() {
            guard.hold(!ending && (replies.size() >= MOST_AHEAD || !channel.isWritable()));
            channel.config().setAutoRead(ending || !bodyPaused);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (passing != null) {
                passing.rest.pause(!channel.isWritable());
            }
            mindReading();
        }

        private void ready(Reply reply) {
            boolean ready = isReady();
            reply.plain(
                    ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ready ? "ready" : away || stopping ? "draining" : warm ? "no endpoint is known" : "starting");
        }

        private void api(Reply reply, HttpRequest request, byte[] body, Upload upload) {
            CallReader.Reading reading = calls.read(new Head(request), time.now(), endsAt);
            if (reading.request() == null) {
                reply.giveUp(HttpResponseStatus.valueOf(reading.status()), reading.why());
            } else if (surplus) {
                reply.keepAlive = false;
                reply.onRejected(OVERFLOW_COOL_DOWN_MS);
            } else {
                hasAsked = true;
                arrivals.add(new Arrival(reply, reading.request(), message(request, body, upload)));
                if (upload != null) {
                    handOverArrivals();
                } else if (arrivals.size() == 1) {
                    // Not while the connection is read: only behind the request shows whether its client has left.
                    channel.eventLoop().execute(this::handOverArrivals);
                }
            }
        }

        private void handOverArrivals() {
            for (Arrival next = arrivals.poll(); next != null; next = arrivals.poll()) {
                Reply reply = next.reply();
                if (!replies.contains(reply)) {
                    // The connection has ended in the meantime.
                    continue;
                }
                Request request = next.request();
                if (exchange.isPending(request.id())) {
                    reply.giveUp(HttpResponseStatus.CONFLICT, CallReader.ID + " is that of a request in hand");
                    continue;
                }
                reply.id = request.id();
                boolean incomplete = next.message().upload() != null;
                exchange.accept(request, endpoints.carrier(next.message()), reply, incomplete);
            }
        }

        /** What goes on to endpoints; the request's own headers, as nobody needs them here any more. */
        private EndpointPool.Message message(HttpRequest request, byte[] body, Upload upload) {
            HttpHeaders headers = request.headers();
            for (CharSequence name : HOP_BY_HOP) {
                headers.remove(name);
            }
            if (body.length > 0) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            return new EndpointPool.Message(request.method(), request.uri(), headers, body, upload);
        }

        /** Writes the answers that are there, as far as none before them is missing. */
        private void flush() {
            while (!ending && passing == null && !replies.isEmpty() && replies.peek().response != null) {
                Reply reply = replies.peek();
                reply.isLast = !reply.keepAlive || finishing && replies.size() == 1;
                if (reply.isLast) {
                    reply.response.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                ChannelFuture written = channel.writeAndFlush(reply.response);
                if (reply.rest != null) {
                    passing = reply;
                    reply.rest.transferTo(reply);
                } else {
                    replies.poll();
                    endAfter(reply, written);
                }
            }
            if (ending) {
                drop();
            } else if (replies.isEmpty() && connections.contains(this)) {
                (hasAsked ? idle : expendable).add(this);
                guard.answered();
            }
            mindReading();
        }

        private void endAfter(Reply reply, ChannelFuture written) {
            ending = reply.isLast;
            if (ending) {
                reader.stop();
                // With the process all that has not been taken yet ends too: until then nobody is hurried.
                guard.endAfter(written, bodyCut, stopping ? endsAt - time.now() : 0);
            }
        }

        /**
         * An answer has been passed on to its end, or is cut short, which the client must be able to tell.
         */
        private void passedOn(Reply reply, boolean whole) {
            passing = null;
            replies.poll();
            if (!whole) {
                if (reply.untilClose) {
                    channel.config().setSoLinger(0);
                }
                channel.close();
                return;
            }
            endAfter(reply, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            flush();
        }

        /** The connection says no more: what else was asked on it has nobody to answer to. */
        private void drop() {
            List<Reply> left = List.copyOf(replies);
            replies.clear();
            passing = null;
            if (connections.contains(this)) {
                expendable.add(this);
            }
            for (Reply reply : left) {
                reply.freeRoom();
                if (reply.id != null && reply.response == null) {
                    exchange.onClientDisconnected(reply.id);
                }
                if (reply.rest != null) {
                    reply.rest.abandon();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Clients come and go; only what is not the network's doing is worth a line.
            if (!(cause instanceof java.io.IOException)) {
                complaints.logException("connection of a client", cause);
            }
            ctx.close();
        }
    }

    /** A request that was read, and who waits for its answer. */
    private record Arrival(Reply reply, Request request, EndpointPool.Message message) {}

    private record Head(HttpRequest request) implements CallReader.Head {
        @Override
        public String method() {
            return request.method().name();
        }

        @Override
        public String first(String name) {
            return request.headers().get(name);
        }

        @Override
        public boolean repeated(String name) {
            Iterator<String> values = request.headers().valueStringIterator(name);
            if (!values.hasNext()) {
                return false;
            }
            values.next();
            return values.hasNext();
        }
    }

    /** The answer that one request on a connection will get. */
    private final class Reply implements ResponseListener, RemainingBody.Receiver {
        private final Connection connection;
        private String id;
        private boolean keepAlive;
        private boolean knowsChunks;
        /** What its body takes of the room. */
        private int bodySize;

        private HttpResponse response;
        /**
         * What is passed on after the response's head, or null; and whether only the connection's end ends
         * it.
         */
        private RemainingBody rest;

        private boolean untilClose;
        private boolean isLast;

        Reply(Connection connection) {
            this.connection = connection;
        }

        @Override
        public boolean isConnected() {
            if (!connection.bodyPaused) {
                connection.guard.readNow();
            }
            return connection.channel.isActive();
        }

        @Override
        public void onServed(EndpointResponse answer) {
            if (answer.remainingBody() != null) {
                passOn(answer);
                return;
            }
            FullHttpResponse served = response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            if (answer.contentType() != null) {
                served.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            answer(served);
        }

        private void passOn(EndpointResponse answer) {
            rest = answer.remainingBody();
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (answer.contentType() != null) {
                head.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            if (rest.length() >= 0) {
                HttpUtil.setContentLength(head, rest.length());
            } else if (knowsChunks) {
                HttpUtil.setTransferEncodingChunked(head, true);
            } else {
                untilClose = true;
                keepAlive = false;
            }
            answer(head);
        }

        @Override
        public void onPart(byte[] bytes) {
            connection.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            if (!connection.channel.isWritable()) {
                rest.pause(true);
            }
        }

        @Override
        public void onEnd(boolean whole) {
            RemainingBody over = rest;
            rest = null;
            if (connection.passing == this) {
                connection.passedOn(this, whole);
            } else {
                over.abandon();
            }
        }

        private void freeRoom() {
            room.release(bodySize);
            bodySize = 0;
        }

        @Override
        public void onInvalidRequest(int status) {
            giveUp(HttpResponseStatus.valueOf(status), "turned away");
        }

        @Override
        public void onRejected(double coolDownMs) {
            FullHttpResponse refusal = response(HttpResponseStatus.SERVICE_UNAVAILABLE, text("refused"));
            if (coolDownMs > 0) {
                refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(coolDownMs));
            }
            answer(refusal);
        }

        /** Whole and thousandths; a formatter costs as much as all the rest of a refusal. */
        private static String seconds(double ms) {
            long whole = Math.round(ms);
            return whole / 1000 + "." + Long.toString(1000 + whole % 1000).substring(1);
        }

        @Override
        public void onFailed() {
            answer(response(HttpResponseStatus.BAD_GATEWAY, text("failed")));
        }

        void plain(HttpResponseStatus status, String why) {
            answer(response(status, text(why)));
        }

        /** Answers what is no request; nothing more is heard from who sends such. */
        void giveUp(HttpResponseStatus status, String why) {
            keepAlive = false;
            connection.reader.stop();
            connection.guard.goDeaf();
            plain(status, why);
        }

        private void answer(HttpResponse made) {
            response = made;
            freeRoom();
            if (connection.coming == this) {
                // The rest of its body is of no use any more.
                connection.coming = null;
                connection.bodyCut = true;
                keepAlive = false;
                connection.reader.stop();
            }
            connection.flush();
        }

        private static ByteBuf text(String line) {
            return Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII));
        }

        private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status,
                    body,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    EmptyHttpHeaders.INSTANCE);
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            return made;
        }
    }
}
