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
 * Relays TCP from one process to another: each connection to its address is forwarded to its target. Each direction
 * has its own conditions. A link that is silent in either direction accepts no new connections and does not reject
 * them: its accept queue is kept full, so the system drops connection attempts as a network partition does.
 * Everything runs on one event loop, which calls from other threads are handed to.
 */
public final class StreamLink {

    private static final int BACKLOG = 32;
    /** Bytes buffered in one direction of one connection before reading from the sender is paused. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final String from;
    private final String to;
    private final InetSocketAddress target;
    private final LinkObserver observer;
    private final LongSupplier clock;
    private final LinkModel onwardsModel;
    private final LinkModel backwardsModel;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private final Set<SocketAddress> fillerAddresses = new HashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private boolean refusing;

    /**
     * Creates a link that does not listen yet.
     *
     * @param clock nanoseconds, monotonic
     */
    public StreamLink(
            EventLoop loop,
            String from,
            String to,
            InetSocketAddress target,
            long seed,
            LinkObserver observer,
            LongSupplier clock) {
        this.loop = loop;
        this.from = from;
        this.to = to;
        this.target = target;
        this.observer = observer;
        this.clock = clock;
        onwardsModel = new LinkModel(seed);
        backwardsModel = new LinkModel(~seed);
    }

    public String from() {
        return from;
    }

    public String to() {
        return to;
    }

    /** Listens at an address.
     *
     * @throws IllegalStateException if the address cannot be bound */
    public StreamLink listen(InetSocketAddress requested) {
        address = requested;
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

    /** Returns the address that the sender connects to. */
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
                            new RelayedConnection(accepted).open();
                        }
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Sets the conditions for data sent after this returns; {@code onwards} is the direction to the target. */
    public void setConditions(LinkConditions onwards, LinkConditions backwards) {
        loop.submit(() -> {
                    onwardsModel.setConditions(onwards);
                    backwardsModel.setConditions(backwards);
                    updateListener();
                    List.copyOf(connections).forEach(RelayedConnection::onConditionsChanged);
                })
                .syncUninterruptibly();
    }

    /** Sets whether connections are refused by the system, as they are when the target does not listen. */
    public void refuse(boolean now) {
        ChannelFuture bound = loop.submit(() -> {
                    if (now == refusing) {
                        return null;
                    }
                    refusing = now;
                    if (now) {
                        emptyAcceptQueue();
                        // Connections that wait to be accepted are closed with the listener.
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
            loop.execute(this::updateListener);
        } else if (now) {
            awaitClosed();
        }
    }

    /**
     * Waits until a closed listener no longer accepts. The JDK keeps its socket open until the selector has selected
     * once more, and the system accepts connections until then. A delayed task runs after a selection; once two have
     * run, a selection has certainly taken place between them.
     */
    private void awaitClosed() {
        for (int i = 0; i < 2; i++) {
            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Resets every connection at both ends. */
    public void reset() {
        loop.execute(() -> List.copyOf(connections).forEach(RelayedConnection::reset));
    }

    /** Makes the open connections silent in both directions until {@link #resetStalled}; new ones work. */
    public void stall() {
        loop.execute(() -> connections.forEach(connection -> connection.stalled = true));
    }

    /** Resets the connections that have been made silent. */
    public void resetStalled() {
        loop.execute(() -> List.copyOf(connections).stream()
                .filter(connection -> connection.stalled)
                .forEach(RelayedConnection::reset));
    }

    /** Closes the link and resets all connections. */
    public void close() {
        loop.submit(() -> {
                    refusing = true;
                    emptyAcceptQueue();
                    listener.close();
                    List.copyOf(connections).forEach(RelayedConnection::reset);
                })
                .syncUninterruptibly();
    }

    private boolean isCut() {
        return onwardsModel.conditions().silent() || backwardsModel.conditions().silent();
    }

    private void updateListener() {
        if (refusing) {
            return;
        }
        if (isCut() && fillers.isEmpty()) {
            listener.config().setAutoRead(false);
            fillAcceptQueue();
        } else if (!isCut() && !fillers.isEmpty()) {
            emptyAcceptQueue();
            listener.config().setAutoRead(true);
        }
    }

    /**
     * Fills the accept queue: opens as many connections as the backlog, and the one more that the system accepts
     * beyond it.
     */
    private void fillAcceptQueue() {
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

    private void emptyAcceptQueue() {
        List.copyOf(fillers).forEach(Channel::close);
        fillers.clear();
    }

    private double now() {
        return clock.getAsLong() / NANOS_PER_MS;
    }

    /** One connection through the link: the accepted socket and the one to the target. */
    private final class RelayedConnection {
        private final DuplexChannel near;
        private DuplexChannel far;
        private Direction onwards;
        private Direction backwards;
        /** Whether nothing is forwarded although the link is not silent. */
        private boolean stalled;

        RelayedConnection(DuplexChannel near) {
            this.near = near;
        }

        void open() {
            connections.add(this);
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
                                this, near, far, onwardsModel, new RequestIds(id -> observer.onRequest(from, to, id)));
                        backwards = new Direction(this, far, near, backwardsModel, null);
                        near.pipeline().addLast(onwards);
                        far.pipeline().addLast(backwards);
                        near.config().setAutoRead(true);
                        far.config().setAutoRead(true);
                    });
        }

        void onConditionsChanged() {
            if (onwards != null) {
                onwards.forwardDue();
                backwards.forwardDue();
            }
        }

        void reset() {
            connections.remove(this);
            resetChannel(near);
            if (far != null) {
                resetChannel(far);
                onwards.releaseParts();
                backwards.releaseParts();
            }
        }

        /** Closes both sockets once both directions have ended. */
        void closeIfBothEnded() {
            if (onwards.endForwarded && backwards.endForwarded) {
                near.close();
                far.close();
            }
        }

        void onChannelClosed() {
            if (!near.isOpen() && !far.isOpen()) {
                connections.remove(this);
                onwards.releaseParts();
                backwards.releaseParts();
            }
        }
    }

    private static void resetChannel(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Data in transit: bytes, or the end of the stream (bytes is null), orderly or by a reset. */
    private record Part(double dueMs, ByteBuf bytes, boolean isReset) {}

    /** One direction of a connection: reads from the source and writes to the sink when the model says so. */
    private final class Direction extends ChannelDuplexHandler {
        private final RelayedConnection connection;
        private final DuplexChannel source;
        private final DuplexChannel sink;
        private final LinkModel model;
        private final RequestIds ids;
        private final Deque<Part> parts = new ArrayDeque<>();
        private int bufferedBytes;
        private boolean ended;
        /** Whether the end of the stream has been forwarded. */
        private boolean endForwarded;

        private double wakeAtMs = Double.POSITIVE_INFINITY;

        Direction(
                RelayedConnection connection,
                DuplexChannel source,
                DuplexChannel sink,
                LinkModel model,
                RequestIds ids) {
            this.connection = connection;
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
            boolean half = model.truncatesWrite();
            ByteBuf sent = half ? bytes.readRetainedSlice(bytes.readableBytes() / 2) : bytes.retain();
            if (model.duplicatesWrite()) {
                add(Unpooled.copiedBuffer(sent));
            }
            add(sent);
            bytes.release();
            if (half) {
                parts.add(new Part(model.streamArrivalMs(now(), 0), null, true));
            }
            forwardDue();
            updateAutoRead();
        }

        private void add(ByteBuf bytes) {
            bufferedBytes += bytes.readableBytes();
            parts.add(new Part(model.streamArrivalMs(now(), bytes.readableBytes()), bytes, false));
        }

        private void updateAutoRead() {
            source.config().setAutoRead(bufferedBytes < MAX_BUFFERED_BYTES && sink.isWritable());
        }

        /** Forwards all parts that are due, unless the link is silent. */
        void forwardDue() {
            if (isSilent()) {
                return;
            }
            double now = now();
            boolean wrote = false;
            while (!parts.isEmpty() && parts.peek().dueMs() <= now) {
                Part part = parts.poll();
                if (part.bytes() != null) {
                    bufferedBytes -= part.bytes().readableBytes();
                    sink.write(part.bytes());
                    wrote = true;
                } else if (part.isReset()) {
                    connection.reset();
                    return;
                } else {
                    sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                        sink.shutdownOutput();
                        endForwarded = true;
                        connection.closeIfBothEnded();
                    });
                }
            }
            if (wrote) {
                sink.flush();
            }
            updateAutoRead();
            if (!parts.isEmpty() && parts.peek().dueMs() < wakeAtMs) {
                double dueMs = parts.peek().dueMs();
                wakeAtMs = dueMs;
                loop.schedule(
                        () -> {
                            wakeAtMs = Double.POSITIVE_INFINITY;
                            if (!isSilent()) {
                                observer.onLate(now() - dueMs);
                            }
                            forwardDue();
                        },
                        (long) ((dueMs - now) * NANOS_PER_MS),
                        TimeUnit.NANOSECONDS);
            }
        }

        private boolean isSilent() {
            return connection.stalled || model.conditions().silent();
        }

        private void end(boolean isReset) {
            if (!ended) {
                ended = true;
                parts.add(new Part(model.streamArrivalMs(now(), 0), null, isReset));
                forwardDue();
            }
        }

        void releaseParts() {
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
            connection.onChannelClosed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(true);
            ctx.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            // This channel is the sink of the other direction, so its writability controls that direction's reads.
            (connection.onwards == this ? connection.backwards : connection.onwards).updateAutoRead();
        }
    }
}
