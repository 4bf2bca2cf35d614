package martenlatch.fleet.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A link over TCP from one process to another: whoever connects to its address is connected on to its
 * target. Each direction has a conduct. A link that is silent in either direction takes in no new
 * connection, without a word: its accept queue is kept full, so that the system drops what asks to connect,
 * as a cut does. All of it runs on one event loop; what is asked of it from outside goes there.
 */
public final class StreamLink {

    private static final int BACKLOG = 32;
    /** What waits in one direction of one connection, in bytes, before its sender is made to wait. */
    private static final int MOST_WAITING = 256 * 1024;

    private static final double NANOS_IN_MS = 1e6;

    private final EventLoop loop;
    private final String from;
    private final String to;
    private final InetSocketAddress target;
    private final LinkWatch watch;
    private final LongSupplier clock;
    private final LinkModel there;
    private final LinkModel back;
    private final Set<Passage> passages = new HashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private final Set<SocketAddress> fillerAddresses = new HashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private boolean refusing;

    /**
     * A link that does not listen yet.
     *
     * @param clock nanoseconds, monotonic
     */
    public StreamLink(
            EventLoop loop,
            String from,
            String to,
            InetSocketAddress target,
            long seed,
            LinkWatch watch,
            LongSupplier clock) {
        this.loop = loop;
        this.from = from;
        this.to = to;
        this.target = target;
        this.watch = watch;
        this.clock = clock;
        there = new LinkModel(seed);
        back = new LinkModel(~seed);
    }

    public String from() {
        return from;
    }

    public String to() {
        return to;
    }

    /** Listens at an address; where that can't be, an exception says so. */
    public StreamLink listen(InetSocketAddress at) {
        address = at;
        awaitBound(loop.submit(this::bind).syncUninterruptibly().getNow());
        return this;
    }

    private void awaitBound(ChannelFuture bound) {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new IllegalStateException(
                    from + " to " + to + " cannot listen at " + address + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        address = (InetSocketAddress) bound.channel().localAddress();
    }

    /** Where its sender connects. */
    public InetSocketAddress address() {
        return address;
    }

    private ChannelFuture bind() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        if (fillerAddresses.remove(accepted.remoteAddress())) {
                            accepted.close();
                        } else {
                            new Passage(accepted).open();
                        }
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** How each direction treats what is sent after this returns; {@code onwards} is that to the target. */
    public void conduct(LinkConditions onwards, LinkConditions backwards) {
        loop.submit(() -> {
                    there.conduct(onwards);
                    back.conduct(backwards);
                    mindListener();
                    List.copyOf(passages).forEach(Passage::conductChanged);
                })
                .syncUninterruptibly();
    }

    /** Whether the target takes no connections: then the system refuses them here too. */
    public void refuse(boolean now) {
        ChannelFuture bound = loop.submit(() -> {
                    if (now == refusing) {
                        return null;
                    }
                    refusing = now;
                    if (now) {
                        unfill();
                        // Whoever waits to be accepted goes with the listener.
                        fillerAddresses.clear();
                        listener.close();
                        return null;
                    }
                    return bind();
                })
                .syncUninterruptibly()
                .getNow();
        if (bound != null) {
            awaitBound(bound);
            loop.execute(this::mindListener);
        } else if (now) {
            awaitClosed();
        }
    }

    /**
     * The JDK keeps a closed listener's socket open until its selector has selected once more: until then
     * the system goes on accepting. A task that is due later is run after a selection; after the second
     * such task one lies surely between.
     */
    private void awaitClosed() {
        for (int i = 0; i < 2; i++) {
            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Resets every connection, at both ends. */
    public void reset() {
        loop.execute(() -> List.copyOf(passages).forEach(Passage::reset));
    }

    /** Ends it, and all connections. */
    public void close() {
        loop.submit(() -> {
                    refusing = true;
                    unfill();
                    listener.close();
                    List.copyOf(passages).forEach(Passage::reset);
                })
                .syncUninterruptibly();
    }

    private boolean cut() {
        return there.conduct().silent() || back.conduct().silent();
    }

    private void mindListener() {
        if (refusing) {
            return;
        }
        if (cut() && fillers.isEmpty()) {
            listener.config().setAutoRead(false);
            fill();
        } else if (!cut() && !fillers.isEmpty()) {
            unfill();
            listener.config().setAutoRead(true);
        }
    }

    /**
     * As many as the system holds ready to be accepted, and the one more that it takes beyond the backlog.
     */
    private void fill() {
        for (int i = 0; i <= BACKLOG; i++) {
            Channel filler = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(address)
                    .addListener((ChannelFuture up) -> {
                        if (up.isSuccess()) {
                            fillerAddresses.add(up.channel().localAddress());
                        }
                    })
                    .channel();
            fillers.add(filler);
        }
    }

    private void unfill() {
        List.copyOf(fillers).forEach(Channel::close);
        fillers.clear();
    }

    private double now() {
        return clock.getAsLong() / NANOS_IN_MS;
    }

    /** One connection through the link. */
    private final class Passage {
        private final DuplexChannel near;
        private DuplexChannel far;
        private Direction onwards;
        private Direction backwards;

        Passage(DuplexChannel near) {
            this.near = near;
        }

        void open() {
            passages.add(this);
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(target)
                    .addListener((ChannelFuture up) -> {
                        if (!up.isSuccess() || !near.isOpen()) {
                            reset();
                            up.channel().close();
                            return;
                        }
                        far = (DuplexChannel) up.channel();
                        onwards = new Direction(
                                this, near, far, there, new RequestIds(id -> watch.request(from, to, id)));
                        backwards = new Direction(this, far, near, back, null);
                        near.pipeline().addLast(onwards);
                        far.pipeline().addLast(backwards);
                        near.config().setAutoRead(true);
                        far.config().setAutoRead(true);
                    });
        }

        void conductChanged() {
            if (onwards != null) {
                onwards.pump();
                backwards.pump();
            }
        }

        void reset() {
            passages.remove(this);
            resetOne(near);
            if (far != null) {
                resetOne(far);
                onwards.drop();
                backwards.drop();
            }
        }

        /** Sockets whose two directions have ended are of no more use. */
        void bothOver() {
            if (onwards.over && backwards.over) {
                near.close();
                far.close();
            }
        }

        void ended() {
            if (!near.isOpen() && !far.isOpen()) {
                passages.remove(this);
                onwards.drop();
                backwards.drop();
            }
        }
    }

    private static void resetOne(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** What is under way: bytes, or an end. */
    private record Part(double at, ByteBuf bytes, boolean isReset) {}

    /** One direction of a connection: reads at one end, and writes at the other in its time. */
    private final class Direction extends ChannelDuplexHandler {
        private final Passage passage;
        private final DuplexChannel source;
        private final DuplexChannel sink;
        private final LinkModel model;
        private final RequestIds ids;
        private final Deque<Part> parts = new ArrayDeque<>();
        private int waiting;
        private boolean ended;
        /** Its end has been passed on. */
        private boolean over;

        private double wakeAt = Double.POSITIVE_INFINITY;

        Direction(Passage passage, DuplexChannel source, DuplexChannel sink, LinkModel model, RequestIds ids) {
            this.passage = passage;
            this.source = source;
            this.sink = sink;
            this.model = model;
            this.ids = ids;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (ids != null) {
                ids.read(bytes);
            }
            boolean half = model.streamHalf();
            ByteBuf sent = half ? bytes.readRetainedSlice(bytes.readableBytes() / 2) : bytes.retain();
            if (model.streamTwice()) {
                add(Unpooled.copiedBuffer(sent));
            }
            add(sent);
            bytes.release();
            if (half) {
                parts.add(new Part(model.stream(now(), 0), null, true));
            }
            pump();
            mindSource();
        }

        private void add(ByteBuf bytes) {
            waiting += bytes.readableBytes();
            parts.add(new Part(model.stream(now(), bytes.readableBytes()), bytes, false));
        }

        private void mindSource() {
            source.config().setAutoRead(waiting < MOST_WAITING && sink.isWritable());
        }

        /** Passes on what is due, if anything is to be passed on. */
        void pump() {
            if (model.conduct().silent()) {
                return;
            }
            double now = now();
            boolean wrote = false;
            while (!parts.isEmpty() && parts.peek().at() <= now) {
                Part part = parts.poll();
                if (part.bytes() != null) {
                    waiting -= part.bytes().readableBytes();
                    sink.write(part.bytes());
                    wrote = true;
                } else if (part.isReset()) {
                    passage.reset();
                    return;
                } else {
                    sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                        sink.shutdownOutput();
                        over = true;
                        passage.bothOver();
                    });
                }
            }
            if (wrote) {
                sink.flush();
            }
            mindSource();
            if (!parts.isEmpty() && parts.peek().at() < wakeAt) {
                double due = parts.peek().at();
                wakeAt = due;
                loop.schedule(
                        () -> {
                            wakeAt = Double.POSITIVE_INFINITY;
                            if (!model.conduct().silent()) {
                                watch.late(now() - due);
                            }
                            pump();
                        },
                        (long) ((due - now) * NANOS_IN_MS),
                        TimeUnit.NANOSECONDS);
            }
        }

        private void end(boolean isReset) {
            if (!ended) {
                ended = true;
                parts.add(new Part(model.stream(now(), 0), null, isReset));
                pump();
            }
        }

        void drop() {
            parts.forEach(part -> {
                if (part.bytes() != null) {
                    part.bytes().release();
                }
            });
            parts.clear();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownReadComplete) {
                end(false);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(false);
            passage.ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(true);
            ctx.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            // The source's own writability is that of the other direction's sink.
            (passage.onwards == this ? passage.backwards : passage.onwards).mindSource();
        }
    }
}
