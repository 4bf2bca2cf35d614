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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import martenlatch.discovery.EndpointListGate;
import martenlatch.net.MemoryBudget;
import martenlatch.net.ResilientEventLoopGroup;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;

/** A running sidecar: its components on one event loop, which is the only thread that accesses them. */
public final class Sidecar {

    /** The time within which a local agent that can respond does so, also to a process that is starting. */
    private static final int PROMPT_AGENT_MS = 350;

    /** The longest time, after the wait for the endpoint list, that a process leaves its clients to its predecessor. */
    private static final int MAX_PREDECESSOR_WAIT_MS = 5_000;

    private static final int PREDECESSOR_CHECK_INTERVAL_MS = 50;

    /** How far the start of this sidecar has come. */
    private enum Phase {
        STARTING,
        LISTENING,
        STOPPED
    }

    private final StartOptions options;
    private final PrintStream log;
    private final ResilientEventLoopGroup group;
    private final EventLoop loop;
    private CurrentConfiguration configuration;
    private SidecarParts parts;
    private InetSocketAddress address;
    private InetSocketAddress adminAddress;
    /** The configuration that the sidecar was created with. */
    private SiteConfig startConfig;
    /** Changed by the thread that starts the sidecar and by the one that stops it. */
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

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
        Sidecar sidecar = create(
                options,
                log,
                error -> log.println("martenlatch: the event loop makes no progress for errors: " + error));
        sidecar.serve();
        return sidecar;
    }

    /**
     * Creates a sidecar that polls discovery and does not listen until {@link #serve} is called.
     *
     * @param onFailure called on the event loop when errors keep it from making progress, so that no request is served
     * @throws IOException if the configuration file cannot be read
     * @throws IllegalArgumentException if the configuration cannot be used; its message names field and value
     */
    public static Sidecar create(StartOptions options, PrintStream log, Consumer<Throwable> onFailure)
            throws IOException {
        SiteConfig config = SiteConfig.read(options.configFile());
        // Netty's logger formats local times. The first line reads the time zone rules from a file, which fails when no
        // descriptor is left under load, and that error would terminate the event loop. So the rules are read now.
        TimeZone.getDefault();
        log.println("martenlatch: " + System.currentTimeMillis() + " starting with version "
                + config.cachedEndpointList().version() + " of the endpoint list, "
                + config.cachedEndpointList().entries().size() + " endpoints, discovery at " + config.discovery());
        Sidecar sidecar = new Sidecar(options, log, onFailure);
        sidecar.createParts(config);
        return sidecar;
    }

    private void createParts(SiteConfig config) {
        loop.submit(() -> {
                    configuration = new CurrentConfiguration(config);
                    parts = new SidecarParts(loop, configuration, options.sharedFolder(), options.maxListWaitMs(), log);
                })
                .syncUninterruptibly();
        startConfig = config;
    }

    /**
     * Waits for the endpoint list, listens and warms up; returns once the sidecar serves, or once it was stopped.
     *
     * @throws IOException if an address cannot be bound
     */
    public void serve() throws IOException {
        try {
            startParts(startConfig);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void startParts(SiteConfig config) throws IOException, InterruptedException {
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
        if (phase.get() == Phase.STOPPED) {
            return;
        }
        log.println("martenlatch: serving on " + address);
        // Deferred until the sidecar serves: on a fraction of a core it would otherwise make clients wait.
        ConfigurationReloader.warmUp(options.configFile(), config);
    }

    /**
     * Starts with a local discovery agent, which pushes endpoint lists and responds at once, so its list is awaited
     * first. Without another process at the same address this one then listens before it warms up: a client accepted
     * early waits briefly, while a rejected one would not be served at all. If the agent does not respond, the time is
     * used to warm up, so that clients are served once it does; until then their requests are held back.
     *
     * <p>If another process serves the same address, clients are distributed over both processes, so this one warms up
     * and does not listen while only the other one may forward requests.
     */
    private void startWithAgent(SiteConfig config) throws IOException, InterruptedException {
        boolean hasPredecessor = parts.adminOperations.isAnotherProcessServing();
        if (!hasPredecessor && hasEndpointListWithin(PROMPT_AGENT_MS)) {
            listen(config);
            warmUp(config);
            return;
        }
        warmUp(config);
        EndpointListGate.Reason reason = parts.endpointListReady.join();
        if (reason != EndpointListGate.Reason.LIST_CURRENT) {
            log.println("martenlatch: no endpoint list from the agent: " + reason);
        }
        awaitForwardingBesidePredecessor();
        listen(config);
    }

    /** Waits, for a bounded time, while this process may not forward requests and another one serves in its place. */
    private void awaitForwardingBesidePredecessor() throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (elapsedMs(startedNanos) < MAX_PREDECESSOR_WAIT_MS
                && !mayForward()
                && parts.adminOperations.isAnotherProcessServing()) {
            Thread.sleep(PREDECESSOR_CHECK_INTERVAL_MS);
        }
    }

    private boolean hasEndpointListWithin(int timeoutMs) throws InterruptedException {
        try {
            parts.endpointListReady.get(timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean mayForward() {
        return loop.submit(() -> parts.mayForward()).syncUninterruptibly().getNow();
    }

    /**
     * Waits for a current endpoint list if lists are polled. Changes made before this start soon count as notified, so
     * clients should not be served from a list that may be outdated.
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
        if (!phase.compareAndSet(Phase.STARTING, Phase.LISTENING)) {
            return;
        }
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

    /** Stops a sidecar that does not listen yet, and never will; returns false if it already does. */
    public boolean stopBeforeListening() {
        if (!phase.compareAndSet(Phase.STARTING, Phase.STOPPED)) {
            return false;
        }
        log.println("martenlatch: stopped before it listened");
        stop();
        return true;
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
