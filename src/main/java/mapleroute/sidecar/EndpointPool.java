package mapleroute.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import mapleroute.Contract.Outcome;
import mapleroute.Contract.State;

/** The connections to each endpoint: one request at a time on each, kept alive, bounded in all. */
final class EndpointPool {

    /** The largest body that the protocol allows. */
    static final int MOST_BODY = 64 * 1024;
    /** An idle connection is closed at this part of the time after which the endpoint may close it. */
    private static final double IDLE_SHARE = 0.5;
    private static final int SWEEPS = 10;

    /** How an attempt ended; it is told once, and never after {@link Attempt#giveUp}. */
    interface Ending {
        void ended(Outcome outcome, Answer answer);
    }

    /** What an endpoint answered with 200. */
    record Answer(String contentType, byte[] body) {
    }

    /** One request on its way to an endpoint. */
    final class Attempt {
        private final FullHttpRequest request;
        private Ending ending;
        private Connection connection;
        /** The last byte has been handed to the network: from here on the request may have run. */
        private boolean written;

        private Attempt(FullHttpRequest request, Ending ending) {
            this.request = request;
            this.ending = ending;
        }

        /** Stops waiting and closes the connection, which tells the endpoint; true if it may have run. */
        boolean giveUp() {
            ending = null;
            connection.close();
            return written;
        }

        private void end(Outcome outcome, Answer answer) {
            Ending told = ending;
            ending = null;
            if (told != null) {
                told.ended(outcome, answer);
            }
        }
    }

    private static final class Endpoint {
        InetSocketAddress address;
        double startedMs;
        /** The most recently used last. */
        final Deque<Connection> idle = new ArrayDeque<>();
        /** Raised when the endpoint's connections are of no more use; older ones are not kept. */
        int generation;
    }

    private final Clock clock;
    private final Complaints complaints;
    private final Bootstrap bootstrap;
    private final double idleMs;
    private final int most;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    private final Future<?> sweeping;
    private int open;

    EndpointPool(EventLoop loop, Clock clock, Complaints complaints, double dialMs, double idleCloseMs,
            int most) {
        this.clock = clock;
        this.complaints = complaints;
        this.most = most;
        idleMs = idleCloseMs * IDLE_SHARE;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs));
        long sweep = (long) Math.ceil(idleMs / SWEEPS);
        sweeping = loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MILLISECONDS);
    }

    /** Takes in where endpoints listen; connections to a process or address that is no more are dropped. */
    void update(ServerList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.server().id()));
            for (String id : List.copyOf(endpoints.keySet())) {
                if (!named.contains(id)) {
                    retire(endpoints.remove(id));
                }
            }
        }
        for (ServerList.Entry entry : list.entries()) {
            String id = entry.server().id();
            if (entry.server().state() == State.GONE) {
                retire(endpoints.remove(id));
                continue;
            }
            Endpoint endpoint = endpoints.computeIfAbsent(id, k -> new Endpoint());
            if (!entry.address().equals(endpoint.address)
                    || entry.server().startedMs() != endpoint.startedMs) {
                retire(endpoint);
            }
            endpoint.address = entry.address();
            endpoint.startedMs = entry.server().startedMs();
        }
    }

    private static void retire(Endpoint endpoint) {
        if (endpoint != null) {
            endpoint.generation++;
            closeAll(endpoint);
        }
    }

    /** Closes the idle connections to an endpoint. */
    void disconnect(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            closeAll(endpoint);
        }
    }

    private static void closeAll(Endpoint endpoint) {
        for (Connection connection : List.copyOf(endpoint.idle)) {
            connection.close();
        }
    }

    /** Sends a request once, on an idle connection or a new one. It may end before this returns. */
    Attempt send(String id, FullHttpRequest request, Ending ending) {
        Attempt attempt = new Attempt(request, ending);
        Endpoint endpoint = endpoints.get(id);
        closeStale();
        Connection connection = endpoint == null ? null : endpoint.idle.peekLast();
        if (connection != null) {
            connection.write(attempt);
        } else if (endpoint == null) {
            refuse(attempt, "no address is known of " + id);
        } else if (open >= most && !closeLongestIdle()) {
            refuse(attempt, "all " + most + " connections to endpoints are busy");
        } else {
            new Connection(endpoint).open(attempt);
        }
        return attempt;
    }

    private void refuse(Attempt attempt, String why) {
        complaints.log("no connection", why);
        attempt.request.release();
        attempt.end(Outcome.CONNECT_ERROR, null);
    }

    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }

    private void closeStale() {
        double before = clock.now() - idleMs;
        while (!idle.isEmpty() && idle.iterator().next().idleSince < before) {
            closeLongestIdle();
        }
    }

    /** Lets go of all idle connections; no more are looked after. */
    void close() {
        sweeping.cancel(false);
        endpoints.values().forEach(EndpointPool::closeAll);
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Endpoint endpoint;
        private final int generation;
        private Channel channel;
        private Attempt attempt;
        private double idleSince;
        private HttpResponse head;
        private ByteBuf body;

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            generation = endpoint.generation;
        }

        void open(Attempt first) {
            attempt = first;
            first.connection = this;
            open++;
            ChannelFuture connecting = bootstrap.clone().handler(this).connect(endpoint.address);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> {
                open--;
                lost();
            });
            connecting.addListener(connected -> {
                if (!connected.isSuccess()) {
                    first.request.release();
                    channel.close();
                    lost();
                } else if (first.ending == null) {
                    first.request.release();
                    channel.close();
                } else {
                    send(first);
                }
            });
        }

        @Override
        public void channelRegistered(ChannelHandlerContext ctx) {
            ctx.pipeline().addBefore(ctx.name(), null, new HttpRequestEncoder());
            ctx.pipeline().addBefore(ctx.name(), null, new HttpResponseDecoder());
            ctx.fireChannelRegistered();
        }

        void write(Attempt next) {
            endpoint.idle.remove(this);
            idle.remove(this);
            attempt = next;
            next.connection = this;
            send(next);
        }

        private void send(Attempt sent) {
            channel.writeAndFlush(sent.request).addListener(written -> {
                sent.written = written.isSuccess();
                if (!written.isSuccess()) {
                    channel.close();
                }
            });
        }

        void close() {
            endpoint.idle.remove(this);
            idle.remove(this);
            channel.close();
        }

        /** The connection is no more; the attempt on it ends by whether its last byte was written. */
        private void lost() {
            endpoint.idle.remove(this);
            idle.remove(this);
            dropBody();
            Attempt ended = attempt;
            attempt = null;
            if (ended != null) {
                ended.end(ended.written ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
            }
        }

        private void dropBody() {
            if (body != null) {
                body.release();
                body = null;
            }
            head = null;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (attempt == null) {
                    // Nobody has asked for this: the connection is out of step.
                    close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    head = response;
                    body = Unpooled.buffer();
                    if (response.decoderResult().isFailure()) {
                        close();
                        return;
                    }
                }
                if (head != null && message instanceof HttpContent content) {
                    take(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(HttpContent content) {
            if (content.decoderResult().isFailure()
                    || body.readableBytes() + content.content().readableBytes() > MOST_BODY) {
                close();
                return;
            }
            body.writeBytes(content.content());
            if (!(content instanceof LastHttpContent)) {
                return;
            }
            int status = head.status().code();
            if (status < 200) {
                dropBody();
                return;
            }
            // A body that only the connection's end ends may be cut short: it counts as no answer.
            if (!HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)) {
                close();
                return;
            }
            answered(status);
        }

        private void answered(int status) {
            boolean notRun = "1".equals(head.headers().get("X-Not-Run"));
            Outcome outcome = status == 200 ? Outcome.OK
                : (status == 503 || status == 504) && notRun ? Outcome.QUEUE_FULL : Outcome.FAILED;
            Answer answer = outcome != Outcome.OK ? null
                : new Answer(head.headers().get(HttpHeaderNames.CONTENT_TYPE), ByteBufUtil.getBytes(body));
            boolean kept = HttpUtil.isKeepAlive(head) && attempt.written && channel.isActive()
                && generation == endpoint.generation;
            dropBody();
            Attempt ended = attempt;
            attempt = null;
            // First the connection, then the word: what it leads to may need the connection.
            if (kept) {
                idleSince = clock.now();
                endpoint.idle.addLast(this);
                idle.add(this);
            } else {
                channel.close();
            }
            ended.end(outcome, answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset is an everyday end of an attempt and told as such; the rest the operators should see.
            if (!(cause instanceof java.io.IOException)) {
                complaints.bug("connection to an endpoint", cause);
            }
            close();
        }
    }
}
