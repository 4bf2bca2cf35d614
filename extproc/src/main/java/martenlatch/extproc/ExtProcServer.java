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
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.SiteConfig;

/** One external processor: its parts on one event loop, which is the only thread that touches any of them. */
final class ExtProcServer {

    /** A head of 8 KiB, as the HTTP frontend accepts it, with its envelope. */
    private static final int MAX_MESSAGE_BYTES = 32 * 1024;
    /** The metadata of a stream: a proxy adds little to it. */
    private static final int MAX_METADATA_BYTES = 8 * 1024;
    /** Messages are small: a window of this size holds many, and bounds what a peer can make this process hold. */
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 * 1024;

    private static final int EMPTY_POLL_MS = 10;

    private final Path siteFile;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private Processor processor;
    private DiscoveryClient discovery;
    private RequestTracker requestTracker;
    private Server server;
    /** Completes when proxies may be answered from the endpoint list. */
    private final CompletableFuture<EndpointListGate.Reason> endpointListReady = new CompletableFuture<>();
    /** The longest deadline of any request class. */
    private double maxDeadlineMs;

    private ExtProcServer(Path siteFile, PrintStream log) {
        this.siteFile = siteFile;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("extproc"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Reads both files, warms up and listens. */
    static ExtProcServer start(Path siteFile, Path ownFile, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(siteFile);
        ExtProcSettings settings = ExtProcSettings.read(ownFile).requireValidWith(config.settings());
        ExtProcServer server = new ExtProcServer(siteFile, log);
        server.loop.submit(() -> server.build(config, settings)).syncUninterruptibly();
        try {
            long startedNanos = System.nanoTime();
            Warmup.run(config, settings, server.loop);
            log.println("martenlatch: warm-up finished after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) + " ms");
            // The list in the file may be of any age, and proxies must not be sent to endpoints that have left.
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

    /** Starts a gRPC server on the one event loop: calls run on it as they are read, without a hand-over. */
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

    /** Reads the site's configuration again, and moves to the discovery that it names. */
    void reload() {
        loop.execute(() -> {
            try {
                InetSocketAddress named = SiteConfig.read(siteFile).discovery();
                log.println("martenlatch: configuration reloaded: discovery at " + named);
                discovery.moveTo(named);
            } catch (IOException | RuntimeException e) {
                log.println("martenlatch: configuration not reloaded: " + e.getMessage());
            }
        });
    }

    /**
     * Sends proxies away (GOAWAY: their connections take no new streams) and waits for open streams; every request is
     * over by the longest deadline.
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
                EMPTY_POLL_MS,
                EMPTY_POLL_MS,
                TimeUnit.MILLISECONDS);
        boolean complete = false;
        try {
            complete = drained.await((long) maxDeadlineMs, TimeUnit.MILLISECONDS);
            server.shutdownNow();
            // Messages that it still has to write are sent by then.
            server.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(complete ? "martenlatch: drained" : "martenlatch: drain timed out: some streams are still open");
        stop();
    }

    /** Ends everything at once. */
    void stop() {
        if (server != null) {
            server.shutdownNow();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
