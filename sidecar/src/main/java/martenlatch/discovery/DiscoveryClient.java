package martenlatch.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Polls discovery at its current address. A poll that was sent before discovery moved, or whose response is slow, keeps
 * its own connection until the watcher ends it.
 */
public final class DiscoveryClient implements DiscoveryTransport {

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final EndpointListDecoder.Names names;
    private final EndpointListWatcher watcher;
    private final DiscoveryConnection.Listener results = new ResultForwarder();
    private InetSocketAddress address;
    private DiscoveryConnection connection;
    /** The connections of polls beside the current one by the number of the poll; the watcher limits them. */
    private final Map<Long, DiscoveryConnection> superseded = new HashMap<>();

    /**
     * Creates a client that sends nothing yet.
     *
     * @param confirmations decides when the list is confirmed beside an open watch
     * @param age decides whether requests may be forwarded by the list in use
     * @param timing supplies the timing of each poll
     */
    public DiscoveryClient(
            EventLoop loop,
            Scheduler scheduler,
            InetSocketAddress address,
            EndpointListDecoder.Names names,
            RateLimitedLogger logger,
            ConfirmationSchedule confirmations,
            EndpointListAge age,
            Supplier<PollTiming> timing) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.address = address;
        this.names = names;
        watcher = new EndpointListWatcher(scheduler, this, logger, confirmations, age, timing);
        connection = newConnection(address);
    }

    private DiscoveryConnection newConnection(InetSocketAddress remoteAddress) {
        return new DiscoveryConnection(loop, scheduler, remoteAddress, names, results);
    }

    /** Sets the listener for lists and failures, and the version of the list that the process starts with. */
    public void setListener(EndpointList.Listener listener, long knownVersion) {
        watcher.setListener(listener, knownVersion);
    }

    /** Starts polling; does nothing if a poll is outstanding at the current address. */
    public void start() {
        watcher.start();
    }

    /**
     * Applies new settings and switches to another address, where polling begins when the listener starts it. The same
     * address is another discovery if it now pushes lists or no longer does.
     */
    public void moveTo(InetSocketAddress next, BalancerSettings settings) {
        boolean modeChanged = watcher.onSettingsChanged(settings);
        if (modeChanged || !next.equals(address)) {
            address = next;
            watcher.onMoved();
        }
    }

    /** Forwards requests by the list in use until discovery confirms it, as an operator has decided. */
    public void trustList() {
        watcher.trustList();
    }

    /** Returns the state of the list in use. */
    public EndpointListAge listAge() {
        return watcher.listAge();
    }

    @Override
    public void send(Poll poll) {
        connection.send(poll);
    }

    @Override
    public void sendBeside(Poll poll) {
        DiscoveryConnection own = newConnection(address);
        superseded.put(poll.number(), own);
        own.send(poll);
    }

    @Override
    public void abort() {
        connection.close();
    }

    @Override
    public void useNewConnection(Poll outstanding) {
        if (outstanding != null) {
            superseded.put(outstanding.number(), connection);
        } else {
            connection.close();
        }
        connection = newConnection(address);
    }

    @Override
    public void endSuperseded(long poll) {
        DiscoveryConnection ended = superseded.remove(poll);
        if (ended != null) {
            ended.close();
        }
    }

    /** Forwards the results of polls to the watcher. */
    private final class ResultForwarder implements DiscoveryConnection.Listener {
        @Override
        public void onResponseBytes(long poll, int count) {
            watcher.onResponseBytes(poll, count);
        }

        @Override
        public void onResent(long poll) {
            watcher.onResent(poll);
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
