package martenlatch.world;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * A load generator that opens processing streams as proxies would: either open-loop at a given rate, with latency
 * measured from the intended send time to the decision, or closed-loop with a given number of concurrent streams. Each
 * stream carries two messages each way. Both the duration and the number of open streams are bounded.
 */
public final class ProcessingStreamLoad {

    private static final int CONNECTIONS = 4;
    /** Above this number of open streams the processor is far behind, and further streams count as failed. */
    private static final int MAX_OPEN_STREAMS = 20_000;

    private static final long MAX_LATENCY_US = 60_000_000;
    /** The JIT compilers of both sides need some seconds under full load before they reach their steady state. */
    private static final int WARMUP_S = 8;

    private static final int WARMUP_STREAMS = 64;
    /** Sends later than this are counted, because their latency includes delays of the load generator. */
    private static final long LATE_SEND_NANOS = 1_000_000;

    private static final int COMPLETION_WAIT_S = 5;

    private final List<ExternalProcessorGrpc.ExternalProcessorStub> stubs = new ArrayList<>();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(CONNECTIONS, NioIoHandler.newFactory());
    private final ConcurrentHistogram decisionLatenciesUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
    private final AtomicLong completed = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicInteger openStreams = new AtomicInteger();
    private final String runId = Long.toHexString(ThreadLocalRandom.current().nextLong());
    private long openedStreams;

    private ProcessingStreamLoad(InetSocketAddress processor) {
        for (int i = 0; i < CONNECTIONS; i++) {
            ManagedChannel channel = NettyChannelBuilder.forAddress(processor)
                    .usePlaintext()
                    .eventLoopGroup((EventLoop) group.next())
                    .channelType(NioSocketChannel.class)
                    .directExecutor()
                    .build();
            channels.add(channel);
            stubs.add(ExternalProcessorGrpc.newStub(channel));
        }
    }

    /**
     * Runs one warm-up and one measurement, and prints one line of results.
     *
     * @param perSecond the number of streams to open per second, or 0 to keep a fixed number of streams open
     * @param streams the number of concurrent streams if no rate is given
     * @param requestClass the request class that all requests name
     */
    public static void run(
            InetSocketAddress processor, int perSecond, int streams, String requestClass, int seconds, PrintStream out)
            throws InterruptedException {
        ProcessingStreamLoad load = new ProcessingStreamLoad(processor);
        try {
            load.runPhase(0, WARMUP_STREAMS, requestClass, WARMUP_S);
            load.decisionLatenciesUs.reset();
            load.completed.set(0);
            load.rejected.set(0);
            load.failed.set(0);
            long lateSends = load.runPhase(perSecond, streams, requestClass, seconds);
            out.printf(
                    Locale.ROOT,
                    "%s %d/s: done %.0f/s, refused %d, failed %d, open %d, late sends %d; "
                            + "decision ms p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f max %.2f%n",
                    perSecond == 0 ? streams + " streams," : "rate",
                    perSecond,
                    load.completed.get() / (double) seconds,
                    load.rejected.get(),
                    load.failed.get(),
                    load.openStreams.get(),
                    lateSends,
                    load.latencyMs(50),
                    load.latencyMs(90),
                    load.latencyMs(99),
                    load.latencyMs(99.9),
                    load.latencyMs(100));
        } finally {
            load.channels.forEach(ManagedChannel::shutdownNow);
            load.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private double latencyMs(double percentile) {
        return decisionLatenciesUs.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Runs one phase and returns the number of sends that were later than {@link #LATE_SEND_NANOS}. */
    private long runPhase(int perSecond, int streams, String requestClass, int seconds) throws InterruptedException {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + seconds * 1_000_000_000L;
        long lateSends = 0;
        if (perSecond == 0) {
            Semaphore streamPermits = new Semaphore(streams);
            while (System.nanoTime() < endNanos) {
                if (streamPermits.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                    openStream(System.nanoTime(), requestClass, streamPermits);
                }
            }
            streamPermits.tryAcquire(streams, COMPLETION_WAIT_S, TimeUnit.SECONDS);
            return 0;
        }
        double intervalNanos = 1e9 / perSecond;
        for (long i = 0; startNanos + (long) (i * intervalNanos) < endNanos; i++) {
            long intendedNanos = startNanos + (long) (i * intervalNanos);
            for (long remainingNanos = intendedNanos - System.nanoTime();
                    remainingNanos > 0;
                    remainingNanos = intendedNanos - System.nanoTime()) {
                if (remainingNanos > 100_000) {
                    LockSupport.parkNanos(remainingNanos - 50_000);
                } else {
                    Thread.onSpinWait();
                }
            }
            lateSends += System.nanoTime() - intendedNanos > LATE_SEND_NANOS ? 1 : 0;
            if (openStreams.get() < MAX_OPEN_STREAMS) {
                openStream(intendedNanos, requestClass, null);
            } else {
                failed.incrementAndGet();
            }
        }
        for (int i = 0; i < COMPLETION_WAIT_S * 100 && openStreams.get() > 0; i++) {
            Thread.sleep(10);
        }
        return lateSends;
    }

    /** Opens a stream and sends its request headers. */
    private void openStream(long intendedNanos, String requestClass, Semaphore streamPermits) {
        openStreams.incrementAndGet();
        LoadStream stream = new LoadStream(intendedNanos, streamPermits);
        HeaderMap.Builder headers = HeaderMap.newBuilder()
                .addHeaders(header(":method", "GET"))
                .addHeaders(header(":path", "/api?day=2026-12-01"))
                .addHeaders(header(":authority", "app.svc"))
                .addHeaders(header(":scheme", "http"))
                .addHeaders(header("user-agent", "load"))
                .addHeaders(header("accept", "*/*"))
                .addHeaders(header("x-forwarded-proto", "http"))
                .addHeaders(header("x-envoy-attempt-count", "1"))
                .addHeaders(header("x-request-id", runId + "-" + openedStreams))
                .addHeaders(header("x-class", requestClass))
                .addHeaders(header("x-deadline-ms", "1000"));
        stream.requests = stubs.get((int) (openedStreams++ % CONNECTIONS)).process(stream);
        stream.requests.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers))
                .build());
    }

    private static HeaderValue header(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))
                .build();
    }

    /** One stream; answers a decision with a 200 response. */
    private final class LoadStream implements StreamObserver<ProcessingResponse> {
        private static final ProcessingRequest SERVED = ProcessingRequest.newBuilder()
                .setResponseHeaders(HttpHeaders.newBuilder()
                        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200"))))
                .build();

        private final long intendedNanos;
        private final Semaphore streamPermits;
        private volatile StreamObserver<ProcessingRequest> requests;

        LoadStream(long intendedNanos, Semaphore streamPermits) {
            this.intendedNanos = intendedNanos;
            this.streamPermits = streamPermits;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            if (message.hasRequestHeaders()) {
                decisionLatenciesUs.recordValue(Math.min(MAX_LATENCY_US, (System.nanoTime() - intendedNanos) / 1000));
                requests.onNext(SERVED);
            } else if (message.hasImmediateResponse()) {
                rejected.incrementAndGet();
            }
        }

        @Override
        public void onError(Throwable cause) {
            failed.incrementAndGet();
            end();
        }

        @Override
        public void onCompleted() {
            completed.incrementAndGet();
            requests.onCompleted();
            end();
        }

        private void end() {
            openStreams.decrementAndGet();
            if (streamPermits != null) {
                streamPermits.release();
            }
        }
    }
}
