package martenlatch.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.TimeZone;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import martenlatch.discovery.EndpointListGate;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;

/** One sidecar in service: its parts on one event loop, which is the only thread that touches any of them. */
public final class Sidecar {

    private final StartOptions options;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private CurrentConfiguration configuration;
    private SidecarParts parts;
    private InetSocketAddress address;
    private InetSocketAddress adminAddress;

    private Sidecar(StartOptions options, PrintStream log) {
        this.options = options;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("sidecar"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /**
     * Reads the configuration, listens and warms up; returns once the sidecar is warm.
     *
     * @throws IOException if an address cannot be bound, or the configuration file cannot be read
     * @throws IllegalArgumentException if the configuration cannot be used; its message names field and value
     */
    public static Sidecar start(StartOptions options, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(options.configFile());
        // Netty's logger formats local times, whose rules are read from a file at the first line: under load there
        // may be no descriptor for it, and the error would end the event loop.
        TimeZone.getDefault();
        log.println("martenlatch: " + System.currentTimeMillis() + " starting with version "
                + config.cachedEndpointList().version() + " of the endpoint list, "
                + config.cachedEndpointList().entries().size() + " endpoints, discovery at " + config.discovery());
        Sidecar sidecar = new Sidecar(options, log);
        try {
            sidecar.startParts(config);
            return sidecar;
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void startParts(SiteConfig config) throws IOException, InterruptedException {
        loop.submit(() -> {
                    configuration = new CurrentConfiguration(config);
                    parts = new SidecarParts(loop, configuration, options.sharedFolder(), options.maxListWaitMs(), log);
                })
                .syncUninterruptibly();
        if (config.admin() != null) {
            adminAddress = bind(() -> parts.adminServer.listen(config.admin()), config.admin());
        }
        if (options.gossip()) {
            joinGossip(config);
        }
        if (config.settings().pollsEndpointList()) {
            warmUp(config);
            awaitEndpointList();
            listen(config);
        } else {
            startBesideAgent(config);
        }
        log.println("martenlatch: serving on " + address);
        // Not before: where the process has a part of a core only, clients would wait for it.
        ConfigurationReloader.warmUp(options.configFile(), config);
    }

    /**
     * Changes that the agent has learned count as notified already, and it answers at once. Beside another process,
     * clients are divided between both and must not meet one with cold code. Alone, a client that is accepted early
     * waits a little, while one that is refused finds nobody.
     */
    private void startBesideAgent(SiteConfig config) throws IOException, InterruptedException {
        boolean hasPredecessor = parts.adminOperations.othersServe();
        awaitEndpointList();
        if (hasPredecessor) {
            warmUp(config);
            listen(config);
        } else {
            listen(config);
            warmUp(config);
        }
    }

    /** Changes from before this start count as notified soon: clients must not come while the list may be old. */
    private void awaitEndpointList() {
        EndpointListGate.Reason reason = parts.endpointListReady.join();
        if (reason != EndpointListGate.Reason.LIST_CURRENT) {
            log.println("martenlatch: serving from the configuration's endpoint list: " + reason);
        }
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private void joinGossip(SiteConfig config) throws IOException, InterruptedException {
        PeerAddresses addresses = config.peerAddresses();
        bind(() -> parts.listenForGossip(config, addresses), addresses.listen());
        loop.execute(parts::startGossip);
    }

    private void listen(SiteConfig config) throws IOException, InterruptedException {
        // Whoever sees that this process is ready must also find its mark in the shared folder.
        parts.adminOperations.announceServing();
        address = bind(() -> parts.frontend.listen(config.listen()), config.listen());
        log.println("martenlatch: listening on " + address);
    }

    private InetSocketAddress bind(Supplier<ChannelFuture> listen, InetSocketAddress requested)
            throws IOException, InterruptedException {
        ChannelFuture bound = listen.get().await();
        if (!bound.isSuccess()) {
            stop();
            BindException failure = new BindException(
                    "cannot listen on " + requested + ": " + bound.cause().getMessage());
            failure.initCause(bound.cause());
            throw failure;
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void warmUp(SiteConfig config) throws InterruptedException {
        CountDownLatch warm = new CountDownLatch(1);
        long startedNanos = System.nanoTime();
        loop.execute(() -> new Warmup(loop, config, () -> {
                    log.println("martenlatch: warm-up finished after " + elapsedMs(startedNanos) + " ms");
                    parts.frontend.markWarm();
                    warm.countDown();
                })
                .start());
        warm.await();
    }

    /**
     * Reads the configuration file again, moves to the discovery that it names and applies its settings; addresses,
     * limits and the known list take effect at the next start. A file that cannot be used as a whole changes nothing.
     */
    public void reload() {
        loop.execute(() -> new ConfigurationReloader(options.configFile(), configuration, parts, log).reload());
    }

    /** Answers all requests that are in flight or still arrive, then stops; returns when that is done. */
    public void drain() {
        new GracefulShutdown(loop, parts, configuration.maxDeadlineMs(), log).run();
        stop();
    }

    /** Ends everything at once. */
    public void stop() {
        if (parts != null) {
            parts.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return address;
    }

    /** The address of the admin API, or null. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    EventLoop loop() {
        return loop;
    }

    /** The numbers of pending requests and of known endpoints; to be called on the event loop. */
    List<Integer> tableSizes() {
        return List.of(parts.requestTracker.pendingRequests(), parts.endpointPool.size());
    }

    /** What the bodies of requests hold in memory, in bytes; to be called on the event loop. */
    long bodyBytesHeld() {
        return parts.frontend.bodyBytesHeld();
    }
}
