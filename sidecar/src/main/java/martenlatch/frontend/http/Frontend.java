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
import martenlatch.net.MemoryBudget;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.upstream.EndpointPool;

/** The HTTP/1.1 frontend: listens for clients and manages their connections from start-up until shutdown. */
public final class Frontend {

    /** Connections accepted above the limit, so that their requests are rejected with a response. */
    public static final int OVERFLOW_CONNECTIONS = ClientConnections.OVERFLOW_CONNECTIONS;

    private static final int ACCEPT_QUEUE_LENGTH = 1024;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final RequestTracker requestTracker;
    private final FrontendState state;
    private final ClientConnections connections;
    private final MemoryBudget memory;
    private final FrontendContext context;
    private ClientListener listener;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param maxConnections the maximum number of client connections, not counting {@link #OVERFLOW_CONNECTIONS}
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
        memory = endpointPool.memory();
        context = new FrontendContext(scheduler, logger, requestTracker, endpointPool, memory, connections, state);
    }

    /** Listens for clients; the future fails if the address cannot be bound. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(ClientListener::new)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .option(ChannelOption.SO_REUSEADDR, true)
                // During an upgrade the old and the new process listen at the same time.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                // Inherited by accepted sockets; it bounds what a client may have written that is not read.
                .option(ChannelOption.SO_RCVBUF, Buffers.SOCKET_BUFFER_BYTES)
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
     * Logs failures to accept a connection, usually for lack of file descriptors. Netty's own logger is not used: it
     * needs a descriptor for its first line, and without one terminates the event loop.
     */
    private final class AcceptFailureLogger extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            logger.log("no connection is taken in", cause);
        }
    }

    /** Called when the warm-up is complete; the frontend is not ready before. */
    public void markWarm() {
        state.markWarm();
    }

    /** Applies settings to requests that arrive from now on. */
    public void applySettings(BalancerSettings settings) {
        state.applySettings(settings);
    }

    /** Returns whether the frontend is ready for clients, as reported to health checks. */
    public boolean isReady() {
        return context.isReady();
    }

    /** Begins a shutdown: requests are still served, with a final response within this time, but readiness ends. */
    public void drain(double remainingMs) {
        double endMs = scheduler.now() + remainingMs;
        state.beginShutdown(endMs);
        requestTracker.capDeadlines(endMs);
    }

    /**
     * Begins a shutdown as {@link #drain} does, where another process serves the same address. The frontend stays
     * ready, the listener closes so that new connections reach the other process, and each response is the last on its
     * connection.
     */
    public void handOver(double remainingMs) {
        drain(remainingMs);
        state.handOver();
        closeListener();
    }

    /**
     * Starts or ends a drain by operators: while it lasts the frontend is not ready, and each response is the last on
     * its connection. The listener stays open for clients that still connect and for health checks.
     */
    public void goAway(boolean away) {
        state.setOperatorDrain(away);
    }

    /** Accepts the connections in the accept queue and closes the listener. */
    public void closeListener() {
        listener.acceptQueuedAndClose();
    }

    /**
     * Closes connections without a request in flight, and makes each response the last on its connection. A partially
     * received request may still be completed, as its last byte may be in transit. In a shutdown without a successor
     * such a connection is closed when the deadline of all requests is reached, as the request was never accepted.
     */
    public void closeIdleClients() {
        state.closeConnections();
        closeIdleConnections(true);
        if (state.isShuttingDown() && !state.hasSuccessor()) {
            scheduler.after(state.maxDeadlineMs() - scheduler.now(), () -> closeIdleConnections(false));
        }
    }

    private void closeIdleConnections(boolean waitForPartialRequests) {
        for (ClientConnection connection : connections.all()) {
            connection.closeIfIdle(waitForPartialRequests);
        }
    }

    /**
     * Closes the connections that owe no response, including those in the middle of a request, as memory has run out.
     * A request that is not complete was never accepted, and what it holds belongs to the client that sends it.
     */
    public void closeUnusedConnections() {
        for (ClientConnection connection : connections.all()) {
            if (!connection.hasPendingResponses()) {
                connection.close();
            }
        }
    }

    /** Stops accepting connections and closes those without a request in flight. */
    public void close() {
        if (listener != null) {
            closeListener();
        }
        closeIdleClients();
    }

    /** Returns the memory reserved for clients, in bytes; 0 when all requests have a response. */
    public long bodyBytesHeld() {
        return memory.reservedBytes();
    }

    /** Returns whether no client is connected and the listener, including its accept queue, is closed. */
    public boolean isDrained() {
        return connections.isEmpty() && !listener.isOpen();
    }
}
