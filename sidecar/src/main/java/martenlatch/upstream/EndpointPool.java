package martenlatch.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import martenlatch.net.Buffers;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** The connections to all endpoints: one request at a time on each, kept alive, bounded in number. */
public final class EndpointPool implements EndpointConnections {

    /** An idle connection is closed after this share of the time after which the endpoint may close it. */
    private static final double IDLE_SHARE = 0.5;

    private static final int SWEEPS_PER_IDLE_TIME = 10;
    /**
     * A connection is not used again for so long after its last response, in milliseconds: a second response may
     * arrive shortly after the first, and would be taken for that of the next request. A longer time would cost
     * connections and not help: what comes later may come at any time.
     */
    private static final double REUSE_DELAY_MS = 10;

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final Bootstrap bootstrap;
    private final EndpointTable endpoints = new EndpointTable();
    private final OpenConnections openConnections;
    private double idleTimeMs;
    private Scheduler.Timer sweepTimer;

    /**
     * Creates a pool that knows no endpoint yet.
     *
     * @param connectTimeoutMs how long a connect may take, in milliseconds
     * @param idleCloseMs after how long at most an endpoint closes an idle connection, in milliseconds
     * @param maxConnections the largest number of open connections to all endpoints together
     */
    public EndpointPool(
            EventLoop loop,
            Scheduler scheduler,
            RateLimitedLogger logger,
            double connectTimeoutMs,
            double idleCloseMs,
            int maxConnections) {
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
                .option(ChannelOption.SO_RCVBUF, Buffers.SOCKET_BUFFER_BYTES);
        applyTimeouts(connectTimeoutMs, idleCloseMs);
        scheduleSweep();
    }

    /** Takes over time-outs, in milliseconds, as in the constructor. */
    public void applyTimeouts(double connectTimeoutMs, double idleCloseMs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
        idleTimeMs = idleCloseMs * IDLE_SHARE;
    }

    private void scheduleSweep() {
        sweepTimer = scheduler.after(idleTimeMs / SWEEPS_PER_IDLE_TIME, () -> {
            closeExpiredConnections();
            scheduleSweep();
        });
    }

    private void closeExpiredConnections() {
        openConnections.closeIdleSinceBefore(scheduler.now() - idleTimeMs);
    }

    @Override
    public void update(EndpointList list) {
        endpoints.update(list);
    }

    @Override
    public void withdrawAttempts() {
        endpoints.withdrawUnwantedAttempts();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
        }
    }

    /** The number of known endpoints. */
    public int size() {
        return endpoints.size();
    }

    /** Whether an endpoint is known and has an address that no other endpoint has taken over. */
    boolean hasAddress(String endpointId) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        return endpoint != null && endpoint.address != null;
    }

    /** The number of addresses in the table. */
    int addressCount() {
        return endpoints.addressCount();
    }

    /** Creates what sends the attempts of one request. */
    public Transport transportFor(OutgoingRequest request) {
        return new HttpTransport(this, request);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Sends an attempt on an idle connection or a new one. It may end before this returns. */
    void send(String endpointId, EndpointAttempt attempt) {
        PooledEndpoint endpoint = endpoints.find(endpointId);
        closeExpiredConnections();
        EndpointConnection reusable = endpoint == null ? null : findReusable(endpoint);
        if (reusable != null) {
            reusable.reuse(attempt);
        } else if (endpoint == null || endpoint.address == null) {
            EndpointConnection.refuse(attempt, logger, "no address is known of " + endpointId);
        } else if (!openConnections.makeRoom()) {
            EndpointConnection.refuse(
                    attempt, logger, "all " + openConnections.max() + " connections to endpoints are busy");
        } else {
            new EndpointConnection(endpoint, openConnections, scheduler, logger).open(bootstrap, attempt);
        }
        attempt.startNotAfterTimer();
    }

    /** The most recently used idle connection that is still in good order; broken ones are closed. */
    private EndpointConnection findReusable(PooledEndpoint endpoint) {
        double latestIdleSinceMs = scheduler.now() - REUSE_DELAY_MS;
        List<EndpointConnection> broken = new ArrayList<>();
        EndpointConnection found = null;
        Iterator<EndpointConnection> newestFirst = endpoint.idle.descendingIterator();
        while (newestFirst.hasNext() && found == null) {
            EndpointConnection connection = newestFirst.next();
            if (connection.idleSinceMs() > latestIdleSinceMs) {
                continue;
            }
            if (connection.isSilent()) {
                found = connection;
            } else {
                broken.add(connection);
            }
        }
        broken.forEach(EndpointConnection::close);
        return found;
    }

    /** Closes all idle connections and stops looking after them. */
    public void close() {
        sweepTimer.cancel();
        endpoints.closeAllIdleConnections();
    }
}
