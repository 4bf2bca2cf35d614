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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.discovery.DiscoveryClient;
import martenlatch.discovery.PollTiming;
import martenlatch.front.extproc.EndpointAddresses;
import martenlatch.front.extproc.ExtProcSettings;
import martenlatch.front.extproc.Processor;
import martenlatch.net.LoopTime;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.SiteConfig;

/** One external processor: its parts on one event loop, which is the only thread that touches any of them. */
final class ExtProcServer {

    /** A head of 8 KiB, as the HTTP front takes it, with what stands round it. */
    private static final int MOST_MESSAGE = 32 * 1024;
    /** What a stream's own metadata may take: a proxy adds little to it. */
    private static final int MOST_METADATA = 8 * 1024;
    /** Messages are small: a window of this size holds many, and a peer can't make us hold more. */
    private static final int WINDOW = 256 * 1024;

    private static final int EMPTY_POLL_MS = 10;

    private final Path siteFile;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private Processor processor;
    private DiscoveryClient discovery;
    private RequestTracker exchange;
    private Server server;
    private double longestMs;

    private ExtProcServer(Path siteFile, PrintStream log) {
        this.siteFile = siteFile;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("extproc"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Reads both files and listens; what goes wrong is an exception whose message says so plainly. */
    static ExtProcServer start(Path siteFile, Path ownFile, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(siteFile);
        ExtProcSettings own = ExtProcSettings.read(ownFile).checkedWith(config.settings());
        ExtProcServer made = new ExtProcServer(siteFile, log);
        made.loop.submit(() -> made.build(config, own)).syncUninterruptibly();
        try {
            long began = System.nanoTime();
            Warmup.run(config, own, made.loop);
            log.println("martenlatch: warm after " + (System.nanoTime() - began) / 1_000_000 + " ms");
            made.server = listen(own, made.processor, made.loop);
        } catch (IOException e) {
            made.stop();
            throw new IOException("cannot listen on " + own.listen() + ": " + e.getMessage(), e);
        }
        log.println("martenlatch: external processor listens on " + made.address());
        return made;
    }

    private void build(SiteConfig config, ExtProcSettings own) {
        Scheduler time = new LoopTime(loop);
        for (RequestClass kind : config.settings().classes()) {
            longestMs = Math.max(longestMs, kind.deadlineMs());
        }
        RateLimitedLogger complaints = new RateLimitedLogger(time, log);
        EndpointAddresses addresses = new EndpointAddresses();
        SplittableRandom random = new SplittableRandom(config.seed());
        discovery = new DiscoveryClient(
                loop,
                time,
                config.discovery(),
                config.names(),
                complaints,
                () -> PollTiming.next(config.settings(), random));
        exchange = new RequestTracker(
                time,
                complaints,
                addresses,
                discovery::start,
                config.settings(),
                config.seed(),
                config.known(),
                RequestObserver.NONE);
        discovery.setListener(exchange, config.known().version());
        processor = new Processor(time, loop, complaints, exchange, addresses, own, config.settings());
    }

    /** A gRPC server on the one event loop: calls run on it as they are read, with no hand-over. */
    static Server listen(ExtProcSettings own, BindableService processor, EventLoop loop) throws IOException {
        return NettyServerBuilder.forAddress(own.listen())
                .channelType(NioServerSocketChannel.class)
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .directExecutor()
                .withChildOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(MOST_MESSAGE)
                .maxInboundMetadataSize(MOST_METADATA)
                .maxConcurrentCallsPerConnection(own.mostStreams())
                .initialFlowControlWindow(WINDOW)
                .addService(processor)
                .build()
                .start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    RequestTracker exchange() {
        return exchange;
    }

    Processor processor() {
        return processor;
    }

    EventLoop loop() {
        return loop;
    }

    /** Reads the site's configuration again and moves to the discovery that it names. */
    void reload() {
        loop.execute(() -> {
            try {
                InetSocketAddress named = SiteConfig.read(siteFile).discovery();
                log.println("martenlatch: configuration read again: discovery is at " + named);
                discovery.moveTo(named);
            } catch (IOException | RuntimeException e) {
                log.println("martenlatch: the configuration stays as it was: " + e.getMessage());
            }
        });
    }

    /**
     * Lets proxies go elsewhere and waits for what is open: their connections are told to take no new streams
     * (GOAWAY), and every request is over by the longest deadline.
     */
    void drain() {
        log.println("martenlatch: draining");
        CountDownLatch empty = new CountDownLatch(1);
        loop.execute(() -> processor.drain(longestMs));
        server.shutdown();
        loop.scheduleWithFixedDelay(
                () -> {
                    if (processor.openStreams() == 0) {
                        empty.countDown();
                    }
                },
                EMPTY_POLL_MS,
                EMPTY_POLL_MS,
                TimeUnit.MILLISECONDS);
        boolean done = false;
        try {
            done = empty.await((long) longestMs, TimeUnit.MILLISECONDS);
            server.shutdownNow();
            // What it still wants to write is on its way by then.
            server.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(done ? "martenlatch: drained" : "martenlatch: not all consultations were over in time");
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
