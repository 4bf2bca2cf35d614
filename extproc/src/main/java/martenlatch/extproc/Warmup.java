package martenlatch.extproc;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.extproc.EndpointAddresses;
import martenlatch.frontend.extproc.ExtProcSettings;
import martenlatch.frontend.extproc.Processor;
import martenlatch.net.EventLoopScheduler;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.SiteConfig;

/**
 * Runs synthetic streams through a separate processor on an ephemeral port before proxies are accepted. The first
 * streams load the classes and would otherwise take longer than a proxy waits. No endpoint is involved.
 */
final class Warmup {

    /** Enough streams to load all Java classes and to start the JIT compiler. */
    private static final int STREAMS = 200;
    /** Limits the warm-up, so that a busy machine does not keep a processor from starting. */
    private static final int MAX_WARMUP_MS = 5000;

    private static final int REQUEST_DEADLINE_MS = 1000;

    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private final List<RequestClass> classes;
    private final String tenant;
    private final CountDownLatch done = new CountDownLatch(1);
    private int finishedStreams;

    private Warmup(ManagedChannel channel, BalancerSettings balancerSettings) {
        stub = ExternalProcessorGrpc.newStub(channel);
        classes = balancerSettings.classes();
        tenant = balancerSettings.tenants().isEmpty()
                ? ""
                : balancerSettings.tenants().get(0).name();
    }

    /** Blocks until the warm-up is complete or its time limit has passed; must not be called on the event loop. */
    static void run(SiteConfig config, ExtProcSettings settings, EventLoop loop) throws IOException {
        InetSocketAddress ephemeral = new InetSocketAddress(settings.listen().getAddress(), 0);
        Processor processor = loop.submit(() -> createProcessor(config, settings, loop))
                .syncUninterruptibly()
                .getNow();
        Server server = ExtProcServer.listen(settings.withListen(ephemeral), processor, loop);
        ManagedChannel channel = NettyChannelBuilder.forAddress(
                        server.getListenSockets().get(0))
                .usePlaintext()
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
        try {
            Warmup warmup = new Warmup(channel, config.settings());
            loop.execute(warmup::openStream);
            warmup.done.await(MAX_WARMUP_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            channel.shutdownNow();
            server.shutdownNow();
        }
    }

    private static Processor createProcessor(SiteConfig config, ExtProcSettings settings, EventLoop loop) {
        Scheduler scheduler = new EventLoopScheduler(loop);
        RateLimitedLogger discardingLogger =
                new RateLimitedLogger(scheduler, new PrintStream(OutputStream.nullOutputStream()));
        EndpointAddresses addresses = new EndpointAddresses();
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Endpoint("warm-up", config.settings().ownZone(), 0, 0, 0, EndpointStatus.READY, 1),
                        settings.listen())));
        RequestTracker requestTracker = new RequestTracker(
                scheduler,
                discardingLogger,
                addresses,
                () -> {},
                config.settings(),
                config.seed(),
                list,
                RequestObserver.NONE);
        return new Processor(scheduler, loop, discardingLogger, requestTracker, addresses, settings, config.settings());
    }

    private void openStream() {
        RequestClass requestClass = classes.get(finishedStreams % classes.size());
        HeaderMap.Builder headers = HeaderMap.newBuilder()
                .addHeaders(header(":method", "GET"))
                .addHeaders(header("x-request-id", "warm-up-" + finishedStreams))
                .addHeaders(header("x-class", requestClass.name()))
                .addHeaders(header("x-tenant", tenant))
                .addHeaders(header("x-deadline-ms", Integer.toString(REQUEST_DEADLINE_MS)));
        Responses responses = new Responses();
        responses.requests = stub.process(responses);
        responses.requests.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers))
                .build());
    }

    private static HeaderValue header(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))
                .build();
    }

    private final class Responses implements StreamObserver<ProcessingResponse> {
        private StreamObserver<ProcessingRequest> requests;

        @Override
        public void onNext(ProcessingResponse message) {
            if (message.hasRequestHeaders()) {
                requests.onNext(ProcessingRequest.newBuilder()
                        .setResponseHeaders(HttpHeaders.newBuilder()
                                .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200"))))
                        .build());
            }
        }

        @Override
        public void onError(Throwable cause) {
            done.countDown();
        }

        @Override
        public void onCompleted() {
            if (++finishedStreams < STREAMS) {
                openStream();
            } else {
                done.countDown();
            }
        }
    }
}
