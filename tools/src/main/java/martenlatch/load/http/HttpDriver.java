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
 * HTTP/1.1 (RFC 9112) as the platform's clients speak it: one request at a time on a connection, kept for the
 * next one, more of them while all are busy. A connection on which anything comes that was not asked for is
 * closed. Addresses are used in turn.
 */
public final class HttpDriver implements Driver {

    /** Shorter than servers commonly keep an idle connection, so that none is closed under a request. */
    private static final long IDLE_NANOS = 3_000_000_000L;

    private static final int CONNECT_MS = 30_000;

    private final EventLoop loop;
    private final List<InetSocketAddress> targets;
    private final int most;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<HttpCall> waiting = new ArrayDeque<>();
    private final Set<Connection> all = new HashSet<>();
    private final String host;
    private int turn;
    /** Connections being made, for calls that wait. */
    private int connecting;

    /**
     * A driver with no connections yet.
     *
     * @param most connections that it may have
     */
    public HttpDriver(EventLoop loop, List<InetSocketAddress> targets, int most) {
        this.loop = loop;
        this.targets = List.copyOf(targets);
        this.most = most;
        host = targets.get(0).getHostString() + ":" + targets.get(0).getPort();
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
    }

    private final class HttpCall implements Call {
        private final Arrival wish;
        private final String id;
        private final boolean retry;
        private final Ending ending;
        private final long until;
        private Connection connection;
        private boolean over;

        HttpCall(Arrival wish, String id, boolean retry, long leftNanos, Ending ending) {
            this.wish = wish;
            this.id = id;
            this.retry = retry;
            this.ending = ending;
            until = System.nanoTime() + leftNanos;
        }

        void end(RequestOutcome end, String cause, double retryAfterMs) {
            if (!over) {
                over = true;
                ending.ended(end, cause, retryAfterMs);
            }
        }

        @Override
        public boolean giveUp() {
            over = true;
            if (connection == null) {
                // Calls that wait are looked at only from the front: this one is passed over there.
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
        private boolean keep;
        private boolean answered;
        private long idleSince;

        void send(HttpCall next) {
            call = next;
            next.connection = this;
            status = 0;
            channel.writeAndFlush(request(next), channel.voidPromise());
            next.ending.written();
        }

        private ByteBuf request(HttpCall of) {
            Arrival wish = of.wish;
            boolean get = wish.kind().effect() == LoadClass.Effect.REPEATABLE;
            long left = Math.max(1, (of.until - System.nanoTime()) / 1_000_000);
            StringBuilder head = new StringBuilder(256)
                    .append(get ? "GET" : "POST")
                    .append(" /api HTTP/1.1\r\nHost: ")
                    .append(host)
                    .append("\r\nX-Request-Id: ")
                    .append(of.id)
                    .append("\r\nX-Class: ")
                    .append(wish.kind().name())
                    .append("\r\nX-Deadline-Ms: ")
                    .append(left);
            if (of.retry) {
                head.append("\r\nX-Retry: 1");
            }
            if (wish.key() != null) {
                head.append("\r\nCookie: key=").append(wish.key());
            }
            if (wish.kind().effect() == LoadClass.Effect.KEYED) {
                // The same for all requests of a wish: the number behind the last dash counts those.
                head.append("\r\nIdempotency-Key: ").append(of.id, 0, of.id.lastIndexOf('-'));
            }
            if (!get) {
                head.append("\r\nContent-Length: ").append(wish.bodyBytes());
            }
            head.append("\r\n\r\n");
            ByteBuf out = channel.alloc().buffer(head.length() + wish.bodyBytes());
            ByteBufUtil.writeAscii(out, head);
            return get ? out : out.writeZero(wish.bodyBytes());
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connecting--;
            free();
        }

        private void free() {
            HttpCall next = nextWaiting();
            if (next != null) {
                send(next);
            } else {
                idleSince = System.nanoTime();
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
                keep = HttpUtil.isKeepAlive(head);
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

        /** Only when nothing more has come with an answer is its connection used again. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (answered) {
                answered = false;
                if (!keep) {
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

    /** Seconds, whole or decimal, in milliseconds; NaN where there are none. */
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
        while (next != null && next.over) {
            next = waiting.poll();
        }
        return next;
    }

    @Override
    public Call send(Arrival wish, String id, boolean retry, long leftNanos, Ending ending) {
        HttpCall call = new HttpCall(wish, id, retry, leftNanos, ending);
        for (Connection free = idle.poll(); free != null; free = idle.poll()) {
            if (free.channel.isActive() && System.nanoTime() - free.idleSince < IDLE_NANOS) {
                free.send(call);
                return call;
            }
            free.close();
        }
        waiting.add(call);
        connectIfWanted();
        return call;
    }

    /** Whether a connection stands that the next call would go out on. */
    public boolean hasIdle() {
        Connection next = idle.peek();
        return next != null && next.channel.isActive() && System.nanoTime() - next.idleSince < IDLE_NANOS;
    }

    private void connectIfWanted() {
        while (!loop.isShuttingDown() && connecting < waiting.size() && all.size() < most) {
            while (!waiting.isEmpty() && waiting.peek().over) {
                waiting.poll();
            }
            if (connecting >= waiting.size()) {
                return;
            }
            connect();
        }
    }

    private void connect() {
        Connection made = new Connection();
        all.add(made);
        connecting++;
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        made.channel = fresh;
                        fresh.pipeline().addLast(new HttpResponseDecoder(), made);
                    }
                })
                .connect(targets.get(turn++ % targets.size()));
        connected.addListener(up -> {
            if (!up.isSuccess()) {
                // Where not even a descriptor was to be had, this is told on a thread that is not ours.
                loop.execute(() -> notConnected(made));
            }
        });
    }

    private void notConnected(Connection failed) {
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
        for (Connection one : List.copyOf(all)) {
            all.remove(one);
            if (one.channel != null) {
                one.channel.close();
            }
        }
    }
}
