package martenlatch.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TimeZone;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import martenlatch.discovery.EndpointListGate;
import martenlatch.net.MemoryBudget;
import martenlatch.net.ResilientEventLoopGroup;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;

/** A running sidecar: its components on one event loop, which is the only thread that accesses them. */
public final class Sidecar {

    private final StartOptions options;
    private final PrintStream log;
    private final ResilientEventLoopGroup group;
    private final EventLoop loop;
    private CurrentConfiguration configuration;
    private SidecarParts parts;
    private InetSocketAddress address;
    private InetSocketAddress adminAddress;

    private Sidecar(StartOptions options, PrintStream log, Consumer<Throwable> onFailure) {
        this.options = options;
        this.log = log;
        group = new ResilientEventLoopGroup("sidecar", new EventLoopErrorListener(onFailure));
        loop = group.next();
    }

    /** Logs errors that escape the event loop, and makes room where they are for lack of memory. */
    private final class EventLoopErrorListener implements ResilientEventLoopGroup.ErrorListener {
        private final Consumer<Throwable> onFailure;

        EventLoopErrorListener(Consumer<Throwable> onFailure) {
            this.onFailure = onFailure;
        }

        @Override
        public void onError(Throwable error) {
            if (parts != null) {
                parts.onEventLoopError(error);
            }
        }

        @Override
        public void onFailure(Throwable error) {
            onFailure.accept(error);
        }
    }

    /**
     * Starts a sidecar: reads the configuration, listens and warms up. Returns once the warm-up has finished.
     *
     * @throws IOException if an address cannot be bound, or the configuration file cannot be read
     * @throws IllegalArgumentException if the configuration cannot be used; its message names field and value
     */
    public static Sidecar start(StartOptions options, PrintStream log) throws IOException {
        return start(
                options,
                log,
                error -> log.println("martenlatch: the event loop makes no progress for errors: " + error));
    }

    /**
     * Starts a sidecar as above.
     *
     * @param onFailure called on the event loop when errors keep it from making progress, so that no request is served
     */
    public static Sidecar start(StartOptions options, PrintStream log, Consumer<Throwable> onFailure)
            throws IOException {
        SiteConfig config = SiteConfig.read(options.configFile());
        // Netty's logger formats local times. The first line reads the time zone rules from a file, which fails when no
        // descriptor is left under load, and that error would terminate the event loop. So the rules are read now.
        TimeZone.getDefault();
        log.println("martenlatch: " + System.currentTimeMillis() + " starting with version "
                + config.cachedEndpointList().version() + " of the endpoint list, "
                + config.cachedEndpointList().entries().size() + " endpoints, discovery at " + config.discovery());
        Sidecar sidecar = new Sidecar(options, log, onFailure);
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
            startWithAgent(config);
        }
        log.println("martenlatch: serving on " + address);
        // Deferred until the sidecar serves: on a fraction of a core it would otherwise make clients wait.
        ConfigurationReloader.warmUp(options.configFile(), config);
    }

    /**
     * Starts with a local discovery agent, which pushes endpoint lists. Changes known to the agent already count as
     * notified, and it responds at once, so its list is awaited first. If another process serves the same address,
     * clients are distributed over both processes, so this one warms up before it listens. Without another process it
     * listens first: a client accepted early waits briefly, while a rejected one would not be served at all.
     */
    private void startWithAgent(SiteConfig config) throws IOException, InterruptedException {
        boolean hasPredecessor = parts.adminOperations.isAnotherProcessServing();
        awaitEndpointList();
        if (hasPredecessor) {
            warmUp(config);
            listen(config);
        } else {
            listen(config);
            warmUp(config);
        }
    }

    /**
     * Waits for a current endpoint list. Changes made before this start soon count as notified, so clients must not be
     * served from a list that may be outdated.
     */
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
        // Must precede listening: a process that sees this one ready must also find its marker in the shared folder.
        parts.adminOperations.announceServing();
        address = bind(() -> parts.frontend.listen(config.listen()), config.listen());
        log.println("martenlatch: listening on " + address);
    }

    private InetSocketAddress bind(Supplier<ChannelFuture> listen, InetSocketAddress requested)
            throws IOException, InterruptedException {
        ChannelFuture binding = listen.get().await();
        if (!binding.isSuccess()) {
            stop();
            BindException failure = new BindException(
                    "cannot listen on " + requested + ": " + binding.cause().getMessage());
            failure.initCause(binding.cause());
            throw failure;
        }
        return (InetSocketAddress) binding.channel().localAddress();
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
     * Reads the configuration file again, switches to the discovery that it names and applies its settings. Addresses,
     * limits and the cached endpoint list take effect at the next start. A file that is invalid in any part changes
     * nothing.
     */
    public void reload() {
        loop.execute(() -> new ConfigurationReloader(options.configFile(), configuration, parts, log).reload());
    }

    /** Answers all requests that are in flight or still arrive, then stops the sidecar; blocks until that is done. */
    public void drain() {
        new GracefulShutdown(loop, parts, configuration.maxDeadlineMs(), log).run();
        stop();
    }

    /** Stops the sidecar at once, without draining. */
    public void stop() {
        if (parts != null) {
            parts.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns the address that clients connect to. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the address of the admin API, or null if there is none. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the numbers of pending requests and of known endpoints; must be called on the event loop. */
    List<Integer> tableSizes() {
        return List.of(parts.requestTracker.pendingRequests(), parts.endpointPool.size());
    }

    /** Returns the memory that is held for clients and endpoints, by use; must be called on the event loop. */
    Map<MemoryBudget.Use, Long> memoryHeld() {
        return parts.endpointPool.memory().reservedByUse();
    }

    /** Returns the memory held by request bodies, in bytes; must be called on the event loop. */
    long bodyBytesHeld() {
        return parts.frontend.bodyBytesHeld();
    }
}
