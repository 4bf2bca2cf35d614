package martenlatch.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import martenlatch.admin.AdminOperations;
import martenlatch.admin.AdminServer;
import martenlatch.admin.EndpointListState;
import martenlatch.admin.SharedIdTable;
import martenlatch.discovery.DiscoveryClient;
import martenlatch.discovery.EndpointListGate;
import martenlatch.discovery.PollTiming;
import martenlatch.frontend.http.Frontend;
import martenlatch.net.EventLoopScheduler;
import martenlatch.net.MemoryBudget;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.PollFailure;
import martenlatch.request.EndpointList;
import martenlatch.request.ExecutionHistory;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;
import martenlatch.upstream.EndpointPool;

/** Wires the components of one sidecar. They are created and used on its event loop, which owns their state. */
final class SidecarParts {

    /** New connections may still arrive for this long after an operator's drain; idle connections close afterwards. */
    private static final int IDLE_CLOSE_DELAY_MS = 1000;

    final EndpointPool endpointPool;
    final DiscoveryClient discovery;
    final RequestTracker requestTracker;
    final AdminOperations adminOperations;
    final AdminServer adminServer;
    final Frontend frontend;
    /** Completes when the wait for the endpoint list ends, with the reason. */
    final CompletableFuture<EndpointListGate.Reason> endpointListReady = new CompletableFuture<>();

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final SplittableRandom random;
    /** The gossip membership among the sidecars, or null if it is disabled. */
    private GossipTransport gossip;

    private Scheduler.Timer idleCloseTimer;

    SidecarParts(
            EventLoop loop,
            CurrentConfiguration configuration,
            Path sharedFolder,
            double maxListWaitMs,
            PrintStream log) {
        this.loop = loop;
        SiteConfig config = configuration.get();
        random = new SplittableRandom(config.seed());
        scheduler = new EventLoopScheduler(loop);
        logger = new RateLimitedLogger(scheduler, log);
        EndpointListGate endpointListGate =
                new EndpointListGate(scheduler, config.settings(), maxListWaitMs, endpointListReady::complete);
        DescriptorBudget budget = DescriptorBudget.of(config.maxDescriptors(), config.admin() != null);
        endpointPool = new EndpointPool(
                loop,
                scheduler,
                logger,
                config.settings().limits().connectTimeoutMs(),
                config.idleCloseMs(),
                budget.endpointConnections(),
                config.maxMemoryBytes() == 0 ? MemoryBudget.ofHeap() : MemoryBudget.ofProcess(config.maxMemoryBytes()));
        discovery = new DiscoveryClient(
                loop,
                scheduler,
                config.discovery(),
                config.names(),
                logger,
                new ConfirmationSchedule(
                        config.settings().balancerCount(), new SplittableRandom(config.seed()).split()),
                new EndpointListAge(config.settings()),
                () -> PollTiming.next(configuration.get().settings(), random));
        requestTracker = new RequestTracker(
                scheduler,
                logger,
                endpointPool,
                discovery::start,
                config.settings(),
                config.seed(),
                config.cachedEndpointList(),
                RequestObserver.NONE,
                new ExecutionHistory(SharedIdTable.open(sharedFolder, config.name(), logger), SharedIdTable::clockMs));
        adminOperations = new AdminOperations(scheduler, logger, new OperatorControl());
        adminServer = new AdminServer(loop, adminOperations);
        discovery.setListener(
                endpointListGate.wrap(new EndpointListRelay()),
                config.cachedEndpointList().version());
        frontend = new Frontend(
                loop, scheduler, logger, requestTracker, endpointPool, config.settings(), budget.clientConnections());
        adminOperations.onEndpointList(config.cachedEndpointList());
        if (config.admin() != null) {
            adminOperations.openSharedFolder(sharedFolder, config.name(), loop);
        }
    }

    /** Creates the gossip transport and binds its socket; the returned future reports whether that succeeded. */
    ChannelFuture listenForGossip(SiteConfig config, PeerAddresses addresses) {
        gossip = new GossipTransport(loop, scheduler, logger, config.settings(), addresses, config.seed());
        return gossip.listen(addresses.listen());
    }

    /** Returns whether requests may be forwarded by the endpoint list in use. */
    boolean mayForward() {
        return discovery.listAge().mayForward(scheduler.now());
    }

    void startGossip() {
        gossip.start();
    }

    void leaveGossip() {
        if (gossip != null) {
            gossip.leave();
        }
    }

    /** Applies a new configuration to all components; requests in flight keep the settings that they started with. */
    void apply(SiteConfig next) {
        endpointPool.applyTimeouts(next.settings().limits().connectTimeoutMs(), next.idleCloseMs());
        // The tracker may answer requests at once, which reads more of them: they must be parsed for these settings.
        frontend.applySettings(next.settings());
        requestTracker.applySettings(next.settings());
        discovery.moveTo(next.discovery(), next.settings());
    }

    /** Replaces the addresses of the other sidecars; throws an exception if their number differs from before. */
    void applyGossipAddresses(SiteConfig next) {
        if (gossip != null) {
            gossip.applyAddresses(next.peerAddresses().addresses());
        }
    }

    /** Called when an error has escaped an iteration of the event loop, which goes on. */
    void onEventLoopError(Throwable error) {
        if (error instanceof OutOfMemoryError) {
            frontend.closeUnusedConnections();
        }
        logger.logException("error on the event loop", error);
    }

    /** Stops the work on other threads at once, and gossip by a task on the event loop. */
    void close() {
        adminOperations.close();
        if (gossip != null) {
            loop.execute(gossip::close);
        }
    }

    /** Executes the operators' calls on this sidecar. */
    private final class OperatorControl implements AdminOperations.Service {
        @Override
        public boolean isReady() {
            return frontend.isReady();
        }

        @Override
        public void setDraining(boolean draining) {
            if (idleCloseTimer != null) {
                idleCloseTimer.cancel();
            }
            frontend.goAway(draining);
            idleCloseTimer = draining ? scheduler.after(IDLE_CLOSE_DELAY_MS, frontend::closeIdleClients) : null;
        }

        @Override
        public String gossipView() {
            return gossip == null ? null : gossip.json();
        }

        @Override
        public EndpointListState endpointListState() {
            return EndpointListState.of(discovery.listAge(), scheduler.now());
        }

        @Override
        public void trustEndpointList() {
            discovery.trustList();
        }

        @Override
        public void disableEndpoints(Set<String> endpointIds) {
            requestTracker.disableEndpoints(endpointIds);
        }
    }

    /** Forwards endpoint lists to the admin API, which validates endpoint names, and then to the load balancer. */
    private final class EndpointListRelay implements EndpointList.Listener {
        @Override
        public void onEndpointList(EndpointList list) {
            adminOperations.onEndpointList(list);
            requestTracker.onEndpointList(list);
        }

        @Override
        public void onPollCompleted(double listAgeMs) {
            requestTracker.onPollCompleted(listAgeMs);
        }

        @Override
        public void onPollFailed(PollFailure failure, double listAgeMs) {
            requestTracker.onPollFailed(failure, listAgeMs);
        }

        @Override
        public void onDiscoveryMoved(double listAgeMs) {
            requestTracker.onDiscoveryMoved(listAgeMs);
        }

        @Override
        public void onForwardingChanged(boolean allowed) {
            requestTracker.onForwardingChanged(allowed);
        }
    }
}
