package martenlatch.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Polls discovery at its present address. A poll that was sent before discovery moved keeps a connection of its own to
 * the address before, until the watcher ends it.
 */
public final class DiscoveryClient implements DiscoveryTransport {

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final EndpointListDecoder.Names names;
    private final EndpointListWatcher watcher;
    private final DiscoveryConnection.Listener results = new Results();
    private InetSocketAddress address;
    private DiscoveryConnection connection;
    /** Connections to addresses before, by the polls that are outstanding on them; the watcher bounds them. */
    private final Map<Long, DiscoveryConnection> superseded = new HashMap<>();

    /** Creates a client that polls nothing yet; {@code timing} is asked before each poll. */
    public DiscoveryClient(
            EventLoop loop,
            Scheduler scheduler,
            InetSocketAddress address,
            EndpointListDecoder.Names names,
            RateLimitedLogger logger,
            Supplier<PollTiming> timing) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.address = address;
        this.names = names;
        watcher = new EndpointListWatcher(scheduler, this, logger, timing);
        connection = connectionTo(address);
    }

    private DiscoveryConnection connectionTo(InetSocketAddress target) {
        return new DiscoveryConnection(loop, scheduler, target, names, results);
    }

    /** Sets who hears of lists, and the version that is known already. */
    public void setListener(EndpointList.Listener listener, long knownVersion) {
        watcher.setListener(listener, knownVersion);
    }

    /** Starts to poll; an outstanding poll goes on. */
    public void start() {
        watcher.start();
    }

    /** Goes on at another address, when the listener starts it there; nothing changes where the address is the same. */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            watcher.onMoved();
        }
    }

    @Override
    public void send(Poll poll) {
        connection.send(poll);
    }

    @Override
    public void abort() {
        connection.close();
    }

    @Override
    public void switchAddress(Poll outstanding) {
        if (outstanding != null) {
            superseded.put(outstanding.number(), connection);
        } else {
            connection.close();
        }
        connection = connectionTo(address);
    }

    @Override
    public void endSuperseded(long poll) {
        DiscoveryConnection ended = superseded.remove(poll);
        if (ended != null) {
            ended.close();
        }
    }

    /** Hands what comes of polls to the watcher. */
    private final class Results implements DiscoveryConnection.Listener {
        @Override
        public void onResponseStarted(long poll) {
            watcher.onResponseStarted(poll);
        }

        @Override
        public void onList(long poll, EndpointList list) {
            watcher.onList(poll, list);
        }

        @Override
        public void onFailure(long poll, Object cause) {
            watcher.onFailure(poll, cause);
        }
    }
}
