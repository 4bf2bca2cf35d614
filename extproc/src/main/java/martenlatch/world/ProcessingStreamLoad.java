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
 * Consults a processor as proxies would: at a rate, with arrivals that wait for no answer (latency counts
 * from the intended time to the decision), or as fast as so many streams at once allow. Each consultation is
 * a stream of two messages each way. Bounded in time and in streams that are open at once.
 */
public final class ProcessingStreamLoad {

    private static final int CONNECTIONS = 4;
    /** More open streams than this are not waited for: the processor is far behind. */
    private static final int MOST_OPEN = 20_000;

    private static final long LONGEST_US = 60_000_000;
    /** Both sides compile for some seconds under full load before they show what they can do. */
    private static final int WARM_S = 8;

    private static final int WARM_STREAMS = 64;
    /** Beyond this lateness of a send its latency would be the load's and not the processor's. */
    private static final long LATE_NANOS = 1_000_000;

    private static final int DRAIN_S = 5;

    private final List<ExternalProcessorGrpc.ExternalProcessorStub> stubs = new ArrayList<>();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(CONNECTIONS, NioIoHandler.newFactory());
    private final ConcurrentHistogram decisions = new ConcurrentHistogram(LONGEST_US, 3);
    private final AtomicLong done = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final String run = Long.toHexString(ThreadLocalRandom.current().nextLong());
    private long count;

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
     * Runs one load and prints one line.
     *
     * @param perSecond consultations a second, or 0 for as many as the streams allow
     * @param streams how many are open at once where no rate is given
     * @param kind the class that they name
     */
    public static void run(
            InetSocketAddress processor, int perSecond, int streams, String kind, int seconds, PrintStream out)
            throws InterruptedException {
        ProcessingStreamLoad load = new ProcessingStreamLoad(processor);
        try {
            load.phase(0, WARM_STREAMS, kind, WARM_S);
            load.decisions.reset();
            load.done.set(0);
            load.refused.set(0);
            load.failed.set(0);
            long late = load.phase(perSecond, streams, kind, seconds);
            out.printf(
                    Locale.ROOT,
                    "%s %d/s: done %.0f/s, refused %d, failed %d, open %d, late sends %d; "
                            + "decision ms p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f max %.2f%n",
                    perSecond == 0 ? streams + " streams," : "rate",
                    perSecond,
                    load.done.get() / (double) seconds,
                    load.refused.get(),
                    load.failed.get(),
                    load.open.get(),
                    late,
                    load.ms(50),
                    load.ms(90),
                    load.ms(99),
                    load.ms(99.9),
                    load.ms(100));
        } finally {
            load.channels.forEach(ManagedChannel::shutdownNow);
            load.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private double ms(double percentile) {
        return decisions.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Returns how many sends were later than a millisecond. */
    private long phase(int perSecond, int streams, String kind, int seconds) throws InterruptedException {
        long began = System.nanoTime();
        long until = began + seconds * 1_000_000_000L;
        long late = 0;
        if (perSecond == 0) {
            Semaphore room = new Semaphore(streams);
            while (System.nanoTime() < until) {
                if (room.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                    consult(System.nanoTime(), kind, room);
                }
            }
            room.tryAcquire(streams, DRAIN_S, TimeUnit.SECONDS);
            return 0;
        }
        double gap = 1e9 / perSecond;
        for (long i = 0; began + (long) (i * gap) < until; i++) {
            long intended = began + (long) (i * gap);
            for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
                if (left > 100_000) {
                    LockSupport.parkNanos(left - 50_000);
                } else {
                    Thread.onSpinWait();
                }
            }
            late += System.nanoTime() - intended > LATE_NANOS ? 1 : 0;
            if (open.get() < MOST_OPEN) {
                consult(intended, kind, null);
            } else {
                failed.incrementAndGet();
            }
        }
        for (int i = 0; i < DRAIN_S * 100 && open.get() > 0; i++) {
            Thread.sleep(10);
        }
        return late;
    }

    private void consult(long intended, String kind, Semaphore room) {
        open.incrementAndGet();
        Talk talk = new Talk(intended, room);
        HeaderMap.Builder heads = HeaderMap.newBuilder()
                .addHeaders(header(":method", "GET"))
                .addHeaders(header(":path", "/api?day=2026-12-01"))
                .addHeaders(header(":authority", "app.svc"))
                .addHeaders(header(":scheme", "http"))
                .addHeaders(header("user-agent", "load"))
                .addHeaders(header("accept", "*/*"))
                .addHeaders(header("x-forwarded-proto", "http"))
                .addHeaders(header("x-envoy-attempt-count", "1"))
                .addHeaders(header("x-request-id", run + "-" + count))
                .addHeaders(header("x-class", kind))
                .addHeaders(header("x-deadline-ms", "1000"));
        talk.out = stubs.get((int) (count++ % CONNECTIONS)).process(talk);
        talk.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(heads))
                .build());
    }

    private static HeaderValue header(String name, String value) {
        return HeaderValue.newBuilder()
                .setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))
                .build();
    }

    private final class Talk implements StreamObserver<ProcessingResponse> {
        private static final ProcessingRequest SERVED = ProcessingRequest.newBuilder()
                .setResponseHeaders(HttpHeaders.newBuilder()
                        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200"))))
                .build();

        private final long intended;
        private final Semaphore room;
        private volatile StreamObserver<ProcessingRequest> out;

        Talk(long intended, Semaphore room) {
            this.intended = intended;
            this.room = room;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            if (message.hasRequestHeaders()) {
                decisions.recordValue(Math.min(LONGEST_US, (System.nanoTime() - intended) / 1000));
                out.onNext(SERVED);
            } else if (message.hasImmediateResponse()) {
                refused.incrementAndGet();
            }
        }

        @Override
        public void onError(Throwable cause) {
            failed.incrementAndGet();
            end();
        }

        @Override
        public void onCompleted() {
            done.incrementAndGet();
            out.onCompleted();
            end();
        }

        private void end() {
            open.decrementAndGet();
            if (room != null) {
                room.release();
            }
        }
    }
}
