package martenlatch.load.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import martenlatch.load.Arrival;
import martenlatch.load.Driver;
import martenlatch.load.LoadClass;
import martenlatch.load.RequestOutcome;

/**
 * Sends requests in HTTP/1.1 (RFC 9112) like the platform's clients: a connection carries one request at a time and is
 * reused; a new one is opened if all are busy. A connection on which unrequested data arrives is closed. New
 * connections use the addresses in turn.
 */
public final class HttpDriver implements Driver {

    /** Shorter than common server idle time-outs, so that no server closes a connection as a request is sent on it. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    private static final int CONNECT_TIMEOUT_MS = 30_000;

    private final EventLoop loop;
    private final List<InetSocketAddress> targets;
    private final int maxConnections;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<HttpCall> waiting = new ArrayDeque<>();
    private final Set<Connection> all = new HashSet<>();
    private final String host;
    private int nextTarget;
    /** Connections being opened for waiting calls. */
    private int connecting;

    /**
     * Creates a driver without connections.
     *
     * @param maxConnections maximum number of open connections
     */
    public HttpDriver(EventLoop loop, List<InetSocketAddress> targets, int maxConnections) {
        this.loop = loop;
        this.targets = List.copyOf(targets);
        this.maxConnections = maxConnections;
        host = targets.get(0).getHostString() + ":" + targets.get(0).getPort();
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    private final class HttpCall implements Call {
        private final Arrival arrival;
        private final String id;
        private final boolean retry;
        private final Ending ending;
        private final long deadlineNanos;
        private Connection connection;
        private boolean ended;

        HttpCall(Arrival arrival, String id, boolean retry, long leftNanos, Ending ending) {
            this.arrival = arrival;
            this.id = id;
            this.retry = retry;
            this.ending = ending;
            deadlineNanos = System.nanoTime() + leftNanos;
        }

        void end(RequestOutcome outcome, String cause, double retryAfterMs) {
            if (!ended) {
                ended = true;
                ending.ended(outcome, cause, retryAfterMs);
            }
        }

        @Override
        public boolean giveUp() {
            ended = true;
            if (connection == null) {
                // Stays in the queue of waiting calls and is skipped when it reaches the front.
                return false;
            }
            connection.close();
            return true;
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private HttpCall call;
        private int status;
        private double retryAfterMs;
        private boolean keepAlive;
        private boolean answered;
        private long idleSinceNanos;

        void send(HttpCall next) {
            call = next;
            next.connection = this;
            status = 0;
            channel.writeAndFlush(request(next), channel.voidPromise());
            next.ending.written();
        }

        private ByteBuf request(HttpCall next) {
            Arrival arrival = next.arrival;
            boolean get = arrival.kind().effect() == LoadClass.Effect.REPEATABLE;
            long leftMs = Math.max(1, (next.deadlineNanos - System.nanoTime()) / 1_000_000);
            StringBuilder head = new StringBuilder(256)
                    .append(get ? "GET" : "POST")
                    .append(" /api HTTP/1.1\r\nHost: ")
                    .append(host)
                    .append("\r\nX-Request-Id: ")
                    .append(next.id)
                    .append("\r\nX-Class: ")
                    .append(arrival.kind().name())
                    .append("\r\nX-Deadline-Ms: ")
                    .append(leftMs);
            if (next.retry) {
                head.append("\r\nX-Retry: 1");
            }
            if (arrival.key() != null) {
                head.append("\r\nCookie: key=").append(arrival.key());
            }
            if (arrival.kind().effect() == LoadClass.Effect.KEYED) {
                // The same key for all requests of an arrival: the number after the last dash in the id counts them.
                head.append("\r\nIdempotency-Key: ").append(next.id, 0, next.id.lastIndexOf('-'));
            }
            if (!get) {
                head.append("\r\nContent-Length: ").append(arrival.bodyBytes());
            }
            head.append("\r\n\r\n");
            ByteBuf out = channel.alloc().buffer(head.length() + arrival.bodyBytes());
            ByteBufUtil.writeAscii(out, head);
            return get ? out : out.writeZero(arrival.bodyBytes());
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connecting--;
            free();
        }

        /** Sends the next waiting call, or keeps the connection as idle. */
        private void free() {
            HttpCall next = nextWaiting();
            if (next != null) {
                send(next);
            } else {
                idleSinceNanos = System.nanoTime();
                idle.push(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read((HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(HttpObject part) {
            if (part.decoderResult().isFailure()) {
                fail("no HTTP");
            } else if (answered || call == null) {
                fail("unasked");
            } else if (part instanceof HttpResponse head) {
                status = head.status().code();
                keepAlive = HttpUtil.isKeepAlive(head);
                retryAfterMs = retryAfter(head.headers().get(HttpHeaderNames.RETRY_AFTER));
            }
            if (part instanceof LastHttpContent && call != null && !answered && status >= 200) {
                answered = true;
                HttpCall done = call;
                call = null;
                if (status < 300) {
                    done.end(RequestOutcome.SERVED, "", Double.NaN);
                } else if (status == 429 || status == 503) {
                    done.end(RequestOutcome.REFUSED, "refused " + status, retryAfterMs);
                } else {
                    done.end(RequestOutcome.FAILED, "status " + status, retryAfterMs);
                }
            }
        }

        /**
         * Reuses the connection only after the read in which the answer completed, when no unrequested data followed.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (answered) {
                answered = false;
                if (!keepAlive) {
                    close();
                } else if (channel.isActive()) {
                    free();
                }
            }
        }

        private void fail(String cause) {
            HttpCall broken = call;
            call = null;
            close();
            if (broken != null) {
                broken.end(RequestOutcome.FAILED, cause, Double.NaN);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(status == 0 ? "closed" : "cut short");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("reset");
        }

        void close() {
            if (all.remove(this)) {
                idle.remove(this);
                channel.close();
                connectIfWanted();
            }
        }
    }

    /** Returns a Retry-After value, whole or decimal seconds, in milliseconds; NaN if it is absent or invalid. */
    private static double retryAfter(String text) {
        try {
            double seconds = text == null ? Double.NaN : Double.parseDouble(text);
            return seconds >= 0 ? seconds * 1000 : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private HttpCall nextWaiting() {
        HttpCall next = waiting.poll();
        while (next != null && next.ended) {
            next = waiting.poll();
        }
        return next;
    }

    @Override
    public Call send(Arrival arrival, String id, boolean retry, long leftNanos, Ending ending) {
        HttpCall call = new HttpCall(arrival, id, retry, leftNanos, ending);
        for (Connection free = idle.poll(); free != null; free = idle.poll()) {
            if (free.channel.isActive() && System.nanoTime() - free.idleSinceNanos < MAX_IDLE_NANOS) {
                free.send(call);
                return call;
            }
            free.close();
        }
        waiting.add(call);
        connectIfWanted();
        return call;
    }

    /** Returns whether the next call would be sent at once on an idle connection. */
    public boolean hasIdle() {
        Connection next = idle.peek();
        return next != null && next.channel.isActive() && System.nanoTime() - next.idleSinceNanos < MAX_IDLE_NANOS;
    }

    private void connectIfWanted() {
        while (!loop.isShuttingDown() && connecting < waiting.size() && all.size() < maxConnections) {
            while (!waiting.isEmpty() && waiting.peek().ended) {
                waiting.poll();
            }
            if (connecting >= waiting.size()) {
                return;
            }
            connect();
        }
    }

    private void connect() {
        Connection connection = new Connection();
        all.add(connection);
        connecting++;
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connection.channel = channel;
                        channel.pipeline().addLast(new HttpResponseDecoder(), connection);
                    }
                })
                .connect(targets.get(nextTarget++ % targets.size()));
        connected.addListener(connect -> {
            if (!connect.isSuccess()) {
                // If no file descriptor was available, this listener is called on another thread.
                loop.execute(() -> connectFailed(connection));
            }
        });
    }

    private void connectFailed(Connection failed) {
        connecting--;
        all.remove(failed);
        HttpCall first = nextWaiting();
        if (first != null) {
            first.end(RequestOutcome.FAILED, "no connect", Double.NaN);
        }
        connectIfWanted();
    }

    @Override
    public void close() {
        waiting.clear();
        for (Connection connection : List.copyOf(all)) {
            all.remove(connection);
            if (connection.channel != null) {
                connection.channel.close();
            }
        }
    }
}
