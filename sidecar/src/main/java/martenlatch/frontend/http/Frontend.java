package martenlatch.frontend.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import martenlatch.net.Buffers;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.upstream.EndpointPool;

/** The HTTP/1.1 frontend: listens for clients, and takes their connections through its own life cycle. */
public final class Frontend {

    /** Connections above the bound that are still accepted, to reject their requests in an orderly way. */
    public static final int OVERFLOW_CONNECTIONS = ClientConnections.OVERFLOW_CONNECTIONS;

    private static final int ACCEPT_QUEUE_LENGTH = 1024;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final RequestTracker requestTracker;
    private final FrontendState state;
    private final ClientConnections connections;
    private final BodyMemoryBudget bodyMemory;
    private final FrontendContext context;
    private ClientListener listener;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param maxConnections the largest number of client connections, without {@link #OVERFLOW_CONNECTIONS}
     */
    public Frontend(
            EventLoop loop,
            Scheduler scheduler,
            RateLimitedLogger logger,
            RequestTracker requestTracker,
            EndpointPool endpointPool,
            BalancerSettings settings,
            int maxConnections) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.logger = logger;
        this.requestTracker = requestTracker;
        state = new FrontendState(settings);
        connections = new ClientConnections(maxConnections, logger);
        bodyMemory = new BodyMemoryBudget(Runtime.getRuntime().maxMemory());
        context = new FrontendContext(scheduler, logger, requestTracker, endpointPool, bodyMemory, connections, state);
    }

    /** Listens for clients; the future tells whether that was possible. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(ClientListener::new)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .option(ChannelOption.SO_REUSEADDR, true)
                // During an upgrade the old process and the new one listen at the same time.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveBufferAllocator())
                .childOption(ChannelOption.SO_SNDBUF, Buffers.SOCKET_BUFFER_BYTES)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        new ClientConnection(accepted, context).addTo(accepted.pipeline());
                    }
                })
                .bind(address);
        listener = (ClientListener) bound.channel();
        connections.setListener(listener);
        bound.addListener(done -> listener.pipeline().addLast(new AcceptFailureLogger()));
        return bound;
    }

    /**
     * Logs why no connection could be accepted, mostly because no descriptor is left. Logged here, as Netty's own
     * logger needs a descriptor for its first line, and without one ends the event loop.
     */
    private final class AcceptFailureLogger extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            logger.log("no connection is taken in", cause);
        }
    }

    /** The code has run often enough to be fast: from now on the frontend may be ready. */
    public void markWarm() {
        state.markWarm();
    }

    /** Requests that arrive from now on are parsed by these settings. */
    public void applySettings(BalancerSettings settings) {
        state.applySettings(settings);
    }

    /** Whether clients may come. */
    public boolean isReady() {
        return context.isReady();
    }

    /** Goes on serving, but every request has its final answer within this time; the frontend is not ready any more. */
    public void drain(double remainingMs) {
        double endMs = scheduler.now() + remainingMs;
        state.beginShutdown(endMs);
        requestTracker.capDeadlines(endMs);
    }

    /**
     * As {@link #drain}, where another process serves this address: new connections go to that one, and clients with a
     * connection go there after their next response.
     */
    public void handOver(double remainingMs) {
        drain(remainingMs);
        state.handOver();
        closeListener();
    }

    /**
     * Sends clients away, or takes them again: the frontend is not ready, and each response is the last on its
     * connection. The listener stays open, for clients that are still arriving and for health checks.
     */
    public void goAway(boolean away) {
        state.setGoingAway(away);
    }

    /** Accepts the connections in the accept queue, and no more. */
    public void closeListener() {
        listener.acceptQueuedAndClose();
    }

    /**
     * From now on each response is the last on its connection, and connections without a request in flight are closed.
     * A client that is sending a request is let finish: its last byte may be on its way. A process that shuts down
     * lets it until every request has to be answered; what is not complete by then was never accepted.
     */
    public void closeIdleClients() {
        state.closeConnections();
        closeIdleConnections(true);
        if (state.isShuttingDown() && !state.hasSuccessor()) {
            scheduler.after(state.maxDeadlineMs() - scheduler.now(), () -> closeIdleConnections(false));
        }
    }

    private void closeIdleConnections(boolean letRequestsFinish) {
        for (ClientConnection connection : connections.all()) {
            connection.closeIfIdle(letRequestsFinish);
        }
    }

    /** Accepts no more, and closes connections without a request in flight. */
    public void close() {
        if (listener != null) {
            closeListener();
        }
        closeIdleClients();
    }

    /** The memory that collected bodies hold, in bytes; 0 when all requests are answered. */
    public long bodyBytesHeld() {
        return bodyMemory.heldBytes();
    }

    /** Whether no client is left and none can come: the accept queue has to be emptied first. */
    public boolean isDrained() {
        return connections.isEmpty() && !listener.isOpen();
    }
}
