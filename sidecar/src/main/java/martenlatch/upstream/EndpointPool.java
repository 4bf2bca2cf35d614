package martenlatch.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import martenlatch.net.Buffers;
import martenlatch.net.MemoryBudget;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/**
 * A bounded pool of keep-alive HTTP/1.1 connections to all endpoints. Each connection carries one request at a time.
 */
public final class EndpointPool implements EndpointConnections {

    /** The pool closes an idle connection after this fraction of the time after which the endpoint may close it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private static final int SWEEPS_PER_IDLE_TIMEOUT = 10;
    /**
     * The minimum time between a response and the next request on the same connection. A faulty endpoint may send a
     * second response shortly after the first, which would be taken for the response to the next request. A longer
     * delay would need more connections without helping, because later surplus bytes can arrive at any time.
     */
    private static final double REUSE_DELAY_MS = 10;

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final MemoryBudget memory;
    private final Bootstrap bootstrap;
    private final EndpointTable endpoints = new EndpointTable();
    private final OpenConnections openConnections;
    private double idleTimeoutMs;
    private Scheduler.Timer sweepTimer;

    /**
     * Creates a pool without endpoints.
     *
     * @param connectTimeoutMs the connect time-out in milliseconds
     * @param idleCloseMs the idle time in milliseconds after which an endpoint may close a connection
     * @param maxConnections the maximum number of open connections to all endpoints together
     */
    public EndpointPool(
            EventLoop loop,
            Scheduler scheduler,
            RateLimitedLogger logger,
            double connectTimeoutMs,
            double idleCloseMs,
            int maxConnections) {
        this(loop, scheduler, logger, connectTimeoutMs, idleCloseMs, maxConnections, MemoryBudget.ofHeap());
    }

    /**
     * Creates a pool as above.
     *
     * @param memory accounts for the memory that is held for clients and endpoints
     */
    public EndpointPool(
            EventLoop loop,
            Scheduler scheduler,
            RateLimitedLogger logger,
            double connectTimeoutMs,
            double idleCloseMs,
            int maxConnections,
            MemoryBudget memory) {
        this.memory = memory;
        this.scheduler = scheduler;
        this.logger = logger;
        openConnections = new OpenConnections(maxConnections);
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.receiveBufferAllocator())
                .option(ChannelOption.SO_RCVBUF, Buffers.SOCKET_BUFFER_BYTES)
                .option(ChannelOption.SO_SNDBUF, Buffers.SOCKET_BUFFER_BYTES);
        applyTimeouts(connectTimeoutMs, idleCloseMs);
        scheduleSweep();
    }

    /** Applies new time-outs, which have the same meaning as in the constructor. */
    public void applyTimeouts(double connectTimeoutMs, double idleCloseMs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
        idleTimeoutMs = idleCloseMs * IDLE_TIMEOUT_FRACTION;
    }

    private void scheduleSweep() {
        sweepTimer = scheduler.after(idleTimeoutMs / SWEEPS_PER_IDLE_TIMEOUT, () -> {
            closeExpiredConnections();
            scheduleSweep();
        });
    }

    private void closeExpiredConnections() {
        openConnections.closeIdleSinceBefore(scheduler.now() - idleTimeoutMs);
    }

    @Override
    public void update(EndpointList list) {
        endpoints.update(list);
    }

    @Override
    public void setDisabled(Set<String> endpointIds) {
        endpoints.setDisabled(endpointIds);
    }

    @Override
    public void setForwardingAllowed(boolean allowed) {
        endpoints.setForwardingAllowed(allowed);
    }

    @Override
    public void withdrawAttempts() {
        endpoints.withdrawQueuedAttempts();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
        }
    }

    /** Returns the account of the memory that is held for clients and endpoints. */
    public MemoryBudget memory() {
        return memory;
    }

    /** Returns the number of known endpoints. */
    public int size() {
        return endpoints.size();
    }

    /** Returns whether an endpoint is known and still owns its address. */
    boolean hasAddress(String endpointId) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        return endpoint != null && endpoint.address != null;
    }

    /** Returns the number of addresses that belong to an endpoint. */
    int addressCount() {
        return endpoints.addressCount();
    }

    /** Returns a transport that sends the attempts of one request. */
    public Transport transportFor(OutgoingRequest request) {
        return new HttpTransport(this, request);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Sends an attempt on an idle or a new connection. The attempt may end before this method returns. */
    void send(String endpointId, EndpointAttempt attempt) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        closeExpiredConnections();
        EndpointConnection reusable = endpoint == null ? null : findReusable(endpoint);
        if (reusable != null) {
            reusable.reuse(attempt);
        } else if (endpoint == null || endpoint.address == null) {
            EndpointConnection.failUnconnected(attempt, logger, "no address is known of " + endpointId);
        } else if (!openConnections.ensureCapacity()) {
            EndpointConnection.failUnconnected(
                    attempt, logger, "all " + openConnections.maxOpen() + " connections to endpoints are busy");
        } else {
            new EndpointConnection(endpoint, openConnections, scheduler, logger, memory).open(bootstrap, attempt);
        }
        attempt.startNotAfterTimer();
    }

    /** Returns the most recently used idle connection that can be reused, or null, and closes the broken ones. */
    private EndpointConnection findReusable(PooledEndpoint endpoint) {
        double maxIdleSinceMs = scheduler.now() - REUSE_DELAY_MS;
        List<EndpointConnection> broken = new ArrayList<>();
        EndpointConnection found = null;
        Iterator<EndpointConnection> newestFirst = endpoint.idle.descendingIterator();
        while (newestFirst.hasNext() && found == null) {
            EndpointConnection connection = newestFirst.next();
            if (connection.idleSinceMs() > maxIdleSinceMs) {
                continue;
            }
            if (connection.isOpenWithoutInput()) {
                found = connection;
            } else {
                broken.add(connection);
            }
        }
        broken.forEach(EndpointConnection::close);
        return found;
    }

    /** Closes all idle connections and stops the periodic sweep for expired ones. */
    public void close() {
        sweepTimer.cancel();
        endpoints.closeAllIdleConnections();
    }
}
