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
import martenlatch.discovery.DiscoveryClient;
import martenlatch.discovery.EndpointListGate;
import martenlatch.discovery.PollTiming;
import martenlatch.frontend.http.Frontend;
import martenlatch.net.EventLoopScheduler;
import martenlatch.request.EndpointList;
import martenlatch.request.PollFailure;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;
import martenlatch.upstream.EndpointPool;

/** The parts of one sidecar, wired together. They are created and used on its event loop, which owns their state. */
final class SidecarParts {

    /** After clients were told to go away, new connections may still arrive for this long. */
    private static final int LAST_CONNECTIONS_MS = 1000;

    final EndpointPool endpointPool;
    final DiscoveryClient discovery;
    final RequestTracker requestTracker;
    final AdminOperations adminOperations;
    final AdminServer adminServer;
    final Frontend frontend;
    /** Completes when clients may be served from the endpoint list. */
    final CompletableFuture<EndpointListGate.Reason> endpointListReady = new CompletableFuture<>();

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final SplittableRandom random;
    /** Membership among the sidecars, or null where it is off. */
    private GossipTransport gossip;

    private Scheduler.Timer idleClientsTimer;

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
                budget.endpointConnections());
        discovery = new DiscoveryClient(
                loop,
                scheduler,
                config.discovery(),
                config.names(),
                logger,
                () -> PollTiming.next(configuration.get().settings(), random));
        requestTracker = new RequestTracker(
                scheduler,
                logger,
                endpointPool,
                discovery::start,
                config.settings(),
                config.seed(),
                config.cachedEndpointList(),
                RequestObserver.NONE);
        adminOperations = new AdminOperations(scheduler, logger, new OperatorControl());
        adminServer = new AdminServer(loop, adminOperations);
        discovery.setListener(
                endpointListGate.wrap(new EndpointListRelay()),
                config.cachedEndpointList().version());
        frontend = new Frontend(
                loop, scheduler, logger, requestTracker, endpointPool, config.settings(), budget.clientConnections());
        adminOperations.onEndpointList(config.cachedEndpointList());
        if (config.admin() != null) {
            adminOperations.share(sharedFolder, config.name(), loop);
        }
    }

    /** Creates the gossip transport and listens; the future tells whether that was possible. */
    ChannelFuture listenForGossip(SiteConfig config, PeerAddresses addresses) {
        gossip = new GossipTransport(loop, scheduler, logger, config.settings(), addresses, config.seed());
        return gossip.listen(addresses.listen());
    }

    void startGossip() {
        gossip.start();
    }

    void leaveGossip() {
        if (gossip != null) {
            gossip.leave();
        }
    }

    /** Hands all parts the configuration that holds from now on; requests in flight keep their settings. */
    void apply(SiteConfig next) {
        endpointPool.applyTimeouts(next.settings().limits().connectTimeoutMs(), next.idleCloseMs());
        requestTracker.applySettings(next.settings());
        frontend.applySettings(next.settings());
        discovery.moveTo(next.discovery());
    }

    /** Takes over the addresses of the other sidecars; throws if there are not as many as before. */
    void applyGossipAddresses(SiteConfig next) {
        if (gossip != null) {
            gossip.applyAddresses(next.peerAddresses().addresses());
        }
    }

    /** Ends work outside the event loop, and gossip on it. */
    void close() {
        adminOperations.close();
        if (gossip != null) {
            loop.execute(gossip::close);
        }
    }

    /** Carries out what operators ask of this sidecar. */
    private final class OperatorControl implements AdminOperations.Service {
        @Override
        public boolean isReady() {
            return frontend.isReady();
        }

        @Override
        public void goAway(boolean away) {
            if (idleClientsTimer != null) {
                idleClientsTimer.cancel();
            }
            frontend.goAway(away);
            idleClientsTimer = away ? scheduler.after(LAST_CONNECTIONS_MS, frontend::closeIdleClients) : null;
        }

        @Override
        public String gossipView() {
            return gossip == null ? null : gossip.json();
        }

        @Override
        public void disableEndpoints(Set<String> endpointIds) {
            requestTracker.disableEndpoints(endpointIds);
        }
    }

    /** Passes endpoint lists on: to the admin API, which knows endpoints by name, before the load balancer. */
    private final class EndpointListRelay implements EndpointList.Listener {
        @Override
        public void onEndpointList(EndpointList list) {
            adminOperations.onEndpointList(list);
            requestTracker.onEndpointList(list);
        }

        @Override
        public void onPollCompleted() {
            requestTracker.onPollCompleted();
        }

        @Override
        public void onPollFailed(PollFailure failure) {
            requestTracker.onPollFailed(failure);
        }

        @Override
        public void onDiscoveryMoved() {
            requestTracker.onDiscoveryMoved();
        }
    }
}
