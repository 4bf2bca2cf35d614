package martenlatch.extproc;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.discovery.DiscoveryClient;
import martenlatch.discovery.EndpointListGate;
import martenlatch.discovery.PollTiming;
import martenlatch.frontend.extproc.EndpointAddresses;
import martenlatch.frontend.extproc.ExtProcSettings;
import martenlatch.frontend.extproc.Processor;
import martenlatch.net.EventLoopScheduler;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.SiteConfig;

/** An external processor. All of its components run on one event loop and are accessed from no other thread. */
final class ExtProcServer {

    /** Fits request headers of 8 KiB, the limit of the HTTP frontend, with their protobuf encoding. */
    private static final int MAX_MESSAGE_BYTES = 32 * 1024;
    /** Limits the gRPC metadata of a stream, to which proxies add little. */
    private static final int MAX_METADATA_BYTES = 8 * 1024;
    /** Holds many messages, which are small, and bounds the data that a peer can make this process buffer. */
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 * 1024;

    private static final int OPEN_STREAMS_POLL_MS = 10;

    private final Path siteFile;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private Processor processor;
    private DiscoveryClient discovery;
    private RequestTracker requestTracker;
    private Server server;
    /** Completes when the endpoint list is recent enough for decisions. */
    private final CompletableFuture<EndpointListGate.Reason> endpointListReady = new CompletableFuture<>();

    private BalancerSettings balancerSettings;
    /** The longest deadline of any request class. */
    private double maxDeadlineMs;

    private ExtProcServer(Path siteFile, PrintStream log) {
        this.siteFile = siteFile;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("extproc"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Reads both files, runs the warm-up, waits for the endpoint list and starts to listen. */
    static ExtProcServer start(Path siteFile, Path settingsFile, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(siteFile);
        ExtProcSettings settings = ExtProcSettings.read(settingsFile).requireValidWith(config.settings());
        ExtProcServer server = new ExtProcServer(siteFile, log);
        server.loop.submit(() -> server.build(config, settings)).syncUninterruptibly();
        try {
            long startedNanos = System.nanoTime();
            Warmup.run(config, settings, server.loop);
            log.println("martenlatch: warm-up finished after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) + " ms");
            // The cached list may be of any age. If it is still unconfirmed then, pushed lists hold requests back.
            EndpointListGate.Reason reason = server.endpointListReady.join();
            log.println("martenlatch: endpoint list: " + reason);
            server.server = listen(settings, server.processor, server.loop);
        } catch (IOException e) {
            server.stop();
            throw new IOException("cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
        }
        log.println("martenlatch: external processor listens on " + server.address());
        return server;
    }

    private void build(SiteConfig config, ExtProcSettings settings) {
        Scheduler scheduler = new EventLoopScheduler(loop);
        for (RequestClass requestClass : config.settings().classes()) {
            maxDeadlineMs = Math.max(maxDeadlineMs, requestClass.deadlineMs());
        }
        balancerSettings = config.settings();
        RateLimitedLogger logger = new RateLimitedLogger(scheduler, log);
        EndpointAddresses addresses = new EndpointAddresses();
        SplittableRandom random = new SplittableRandom(config.seed());
        EndpointListGate gate = new EndpointListGate(
                scheduler, config.settings(), EndpointListGate.DEFAULT_MAX_WAIT_MS, endpointListReady::complete);
        discovery = new DiscoveryClient(
                loop,
                scheduler,
                config.discovery(),
                config.names(),
                logger,
                new ConfirmationSchedule(config.settings().balancerCount(), random.split()),
                new EndpointListAge(config.settings()),
                () -> PollTiming.next(config.settings(), random));
        requestTracker = new RequestTracker(
                scheduler,
                logger,
                addresses,
                discovery::start,
                config.settings(),
                config.seed(),
                config.cachedEndpointList(),
                RequestObserver.NONE);
        discovery.setListener(
                gate.wrap(requestTracker), config.cachedEndpointList().version());
        processor = new Processor(scheduler, loop, logger, requestTracker, addresses, settings, config.settings());
    }

    /** Starts a gRPC server whose calls run directly on the event loop, without a hand-over to another thread. */
    static Server listen(ExtProcSettings settings, BindableService processor, EventLoop loop) throws IOException {
        return NettyServerBuilder.forAddress(settings.listen())
                .channelType(NioServerSocketChannel.class)
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .directExecutor()
                .withChildOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .maxInboundMetadataSize(MAX_METADATA_BYTES)
                .maxConcurrentCallsPerConnection(settings.maxStreams())
                .initialFlowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .addService(processor)
                .build()
                .start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    RequestTracker requestTracker() {
        return requestTracker;
    }

    Processor processor() {
        return processor;
    }

    EventLoop loop() {
        return loop;
    }

    /** Reads the site's configuration again and switches to the discovery address that it names. */
    void reload() {
        loop.execute(() -> {
            try {
                InetSocketAddress discoveryAddress = SiteConfig.read(siteFile).discovery();
                log.println("martenlatch: configuration reloaded: discovery at " + discoveryAddress);
                discovery.moveTo(discoveryAddress, balancerSettings);
            } catch (IOException | RuntimeException e) {
                log.println("martenlatch: configuration not reloaded: " + e.getMessage());
            }
        });
    }

    /**
     * Sends GOAWAY to all proxies, so that their connections accept no new streams, and waits for open streams. The
     * wait is limited to the longest deadline, by which every request has ended.
     */
    void drain() {
        log.println("martenlatch: draining");
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> processor.drain(maxDeadlineMs));
        server.shutdown();
        loop.scheduleWithFixedDelay(
                () -> {
                    if (processor.openStreams() == 0) {
                        drained.countDown();
                    }
                },
                OPEN_STREAMS_POLL_MS,
                OPEN_STREAMS_POLL_MS,
                TimeUnit.MILLISECONDS);
        boolean complete = false;
        try {
            complete = drained.await((long) maxDeadlineMs, TimeUnit.MILLISECONDS);
            server.shutdownNow();
            // Gives the server time to write its remaining messages.
            server.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(complete ? "martenlatch: drained" : "martenlatch: drain timed out: some streams are still open");
        stop();
    }

    /** Stops the server and its event loop without waiting for open streams. */
    void stop() {
        if (server != null) {
            server.shutdownNow();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
