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
import martenlatch.front.extproc.EndpointAddresses;
import martenlatch.front.extproc.ExtProcSettings;
import martenlatch.front.extproc.Processor;
import martenlatch.net.LoopTime;
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
 * Runs made-up consultations through a second set of the parts, on a port of its own, before proxies are let
 * in: the first ones load the classes, and would take longer than a proxy waits. No endpoint hears of it.
 */
final class Warmup {

    /** Enough for every class to be loaded and the compiler to have begun. */
    private static final int ROUNDS = 200;
    /** A busy machine must not keep a processor from starting. */
    private static final int MOST_MS = 5000;

    private static final int DEADLINE_MS = 1000;

    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private final List<RequestClass> kinds;
    private final String tenant;
    private final CountDownLatch done = new CountDownLatch(1);
    private int rounds;

    private Warmup(ManagedChannel channel, BalancerSettings site) {
        stub = ExternalProcessorGrpc.newStub(channel);
        kinds = site.classes();
        tenant = site.tenants().isEmpty() ? "" : site.tenants().get(0).name();
    }

    /** Returns when it is warm, or after some seconds; not to be called on the event loop. */
    static void run(SiteConfig config, ExtProcSettings own, EventLoop loop) throws IOException {
        InetSocketAddress ephemeral = new InetSocketAddress(own.listen().getAddress(), 0);
        Processor processor = loop.submit(() -> parts(config, own, loop))
                .syncUninterruptibly()
                .getNow();
        Server server = ExtProcServer.listen(own.at(ephemeral), processor, loop);
        ManagedChannel channel = NettyChannelBuilder.forAddress(
                        server.getListenSockets().get(0))
                .usePlaintext()
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
        try {
            Warmup warmup = new Warmup(channel, config.settings());
            loop.execute(warmup::ask);
            warmup.done.await(MOST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            channel.shutdownNow();
            server.shutdownNow();
        }
    }

    private static Processor parts(SiteConfig config, ExtProcSettings own, EventLoop loop) {
        Scheduler time = new LoopTime(loop);
        RateLimitedLogger silent = new RateLimitedLogger(time, new PrintStream(OutputStream.nullOutputStream()));
        EndpointAddresses addresses = new EndpointAddresses();
        EndpointList list = new EndpointList(
                0,
                true,
                List.of(new EndpointList.Entry(
                        new Endpoint("warm-up", config.settings().ownZone(), 0, 0, 0, EndpointStatus.READY, 1),
                        own.listen())));
        RequestTracker exchange = new RequestTracker(
                time, silent, addresses, () -> {}, config.settings(), config.seed(), list, RequestObserver.NONE);
        return new Processor(time, loop, silent, exchange, addresses, own, config.settings());
    }

    private void ask() {
        RequestClass kind = kinds.get(rounds % kinds.size());
        HeaderMap.Builder heads = HeaderMap.newBuilder()
                .addHeaders(header(":method", "GET"))
                .addHeaders(header("x-request-id", "warm-up-" + rounds))
                .addHeaders(header("x-class", kind.name()))
                .addHeaders(header("x-tenant", tenant))
                .addHeaders(header("x-deadline-ms", Integer.toString(DEADLINE_MS)));
        Answers answers = new Answers();
        answers.out = stub.process(answers);
        answers.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(heads))
                .build());
    }

    private static HeaderValue header(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))
                .build();
    }

    private final class Answers implements StreamObserver<ProcessingResponse> {
        private StreamObserver<ProcessingRequest> out;

        @Override
        public void onNext(ProcessingResponse message) {
            if (message.hasRequestHeaders()) {
                out.onNext(ProcessingRequest.newBuilder()
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
            if (++rounds < ROUNDS) {
                ask();
            } else {
                done.countDown();
            }
        }
    }
}
