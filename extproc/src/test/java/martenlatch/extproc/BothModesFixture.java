package martenlatch.extproc;

import io.grpc.Server;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.Closeable;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.extproc.EndpointAddresses;
import martenlatch.frontend.extproc.ExtProcSettings;
import martenlatch.frontend.extproc.ManualScheduler;
import martenlatch.frontend.extproc.Processor;
import martenlatch.frontend.http.Frontend;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.upstream.EndpointPool;
import martenlatch.world.StandInProxy;

/**
 * One recorded script of clients, endpoints and lists, played over real sockets in one of both modes. The
 * clock stands still while anything is on its way: a step is the next thing that is due, and the one after it
 * comes when every request is either at an endpoint or answered at its client. All is on one event loop.
 */
final class BothModesFixture implements Closeable {

    /** Who stands between clients and endpoints. */
    enum Mode {
        HTTP,
        EXTERNAL_PROCESSOR
    }

    private static final InetSocketAddress LOOPBACK = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int ENDPOINTS = 8;
    private static final int STUCK_S = 100;
    /** One in so many of a full endpoint's refusals lacks the header that proves it. */
    private static final int UNPROVEN = 12;

    private enum Trouble {
        NONE,
        SLOW,
        HANGS,
        REFUSES_CONNECTS,
        ERRORS,
        FULL
    }

    private final SplittableRandom random;
    private final long seed;
    private final int requests;
    private final BalancerSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final ManualScheduler time = new ManualScheduler();
    private final double began = time.now();
    /** All decisions and what became of them, then what was seen of them from outside. */
    final List<String> decisions = new ArrayList<>();

    final List<String> receipts = new ArrayList<>();
    final Map<String, Integer> answers = new HashMap<>();
    final Map<String, Integer> counts = new HashMap<>();
    private final Set<String> unsettled = new HashSet<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Map<String, Double> deadlines = new HashMap<>();
    /** How long the latest attempt of each request is waited for. */
    private final Map<String, Double> waits = new HashMap<>();

    private final List<Endpoint> endpoints = new ArrayList<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final List<Runnable> closing = new ArrayList<>();
    private final RateLimitedLogger complaints =
            new RateLimitedLogger(time, new PrintStream(java.io.OutputStream.nullOutputStream()));
    private RequestTracker exchange;
    private InetSocketAddress front;
    private int asked;
    private boolean stepping;
    private double load = 1;

    /** Plays nothing yet; {@code twist} stands between the host and where endpoints are. */
    BothModesFixture(
            Mode mode,
            long seed,
            int requests,
            BalancerSettings settings,
            java.util.function.UnaryOperator<EndpointConnections> twist)
            throws Exception {
        this.seed = seed;
        this.requests = requests;
        this.settings = settings;
        random = new SplittableRandom(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint(i);
            endpoint.listen(LOOPBACK);
            endpoints.add(endpoint);
        }
        loop.submit(() -> {
                    if (mode == Mode.HTTP) {
                        buildSidecar(twist);
                    } else {
                        buildProcessor(twist);
                    }
                    return null;
                })
                .get();
    }

    private void buildSidecar(java.util.function.UnaryOperator<EndpointConnections> twist) {
        EndpointPool pool = new EndpointPool(loop, time, complaints, 10_000, 15_000, 4000);
        exchange = new RequestTracker(
                time, complaints, twist.apply(pool), () -> {}, settings, 7, list(true), new Recorder());
        Frontend frontend = new Frontend(loop, time, complaints, exchange, pool, settings, 4000);
        var bound = frontend.listen(LOOPBACK);
        front = (InetSocketAddress) bound.channel().localAddress();
        bound.addListener(up -> front = (InetSocketAddress) bound.channel().localAddress());
        closing.add(frontend::close);
        closing.add(pool::close);
    }

    private void buildProcessor(java.util.function.UnaryOperator<EndpointConnections> twist) throws Exception {
        EndpointAddresses addresses = new EndpointAddresses();
        exchange = new RequestTracker(
                time, complaints, twist.apply(addresses), () -> {}, settings, 7, list(true), new Recorder());
        ExtProcSettings own = new ExtProcSettings(LOOPBACK, 2000, 2000, 300, 10_000, 100_000, 100, 250);
        Processor processor = new Processor(time, loop, complaints, exchange, addresses, own, settings);
        CompletableFuture<Server> listening = CompletableFuture.supplyAsync(() -> {
            try {
                return ExtProcServer.listen(own, processor, loop);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        listening.thenAcceptAsync(
                server -> {
                    closing.add(server::shutdownNow);
                    StandInProxy proxy = new StandInProxy(
                            loop,
                            time,
                            (InetSocketAddress) server.getListenSockets().get(0),
                            new StandInProxy.Options(100, 10_000, 9, StandInProxy.WhenAway.FAIL, null),
                            new StandInProxy.Conduct() {
                                /** Whole milliseconds are told; on a clock that stands still both must end at once. */
                                @Override
                                public double waitMs(String id, int attempt, double told) {
                                    return waits.get(id);
                                }
                            });
                    var bound = proxy.listen(LOOPBACK);
                    bound.addListener(
                            up -> front = (InetSocketAddress) bound.channel().localAddress());
                    closing.add(proxy::close);
                },
                loop);
    }

    /** Plays the script to its end. */
    BothModesFixture play() throws Exception {
        while (loop.submit(() -> front == null || front.getPort() == 0).get()) {
            Thread.sleep(1);
        }
        loop.execute(() -> {
            scheduleArrival();
            scheduleTrouble();
            step();
        });
        try {
            done.get(STUCK_S, TimeUnit.SECONDS);
        } catch (java.util.concurrent.TimeoutException e) {
            throw new AssertionError(
                    "stuck at " + (time.now() - began) + " with " + unsettled + ", last "
                            + decisions.subList(Math.max(0, decisions.size() - 5), decisions.size()) + " "
                            + receipts.subList(Math.max(0, receipts.size() - 5), receipts.size()),
                    e);
        }
        return this;
    }

    /** The next things that are due, for as long as none of them sets something on its way. */
    private void step() {
        if (stepping || done.isDone()) {
            return;
        }
        stepping = true;
        try {
            while (unsettled.isEmpty()) {
                if (asked == requests && exchange.pendingRequests() == 0) {
                    done.complete(null);
                    return;
                }
                time.advanceTo(time.nextDue());
            }
        } catch (RuntimeException | AssertionError e) {
            done.completeExceptionally(e);
        } finally {
            stepping = false;
        }
    }

    private void settled(String id) {
        if (unsettled.remove(id) && unsettled.isEmpty()) {
            loop.execute(this::step);
        }
    }

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    // ---- the script ----

    private void scheduleArrival() {
        // Exponential gaps: four calls a hundredth of a second, and four times that in overload.
        double gap = -2.5 / load * Math.log(1 - random.nextDouble());
        time.after(gap, () -> {
            ask();
            if (asked < requests) {
                scheduleArrival();
            }
        });
    }

    private void ask() {
        String id = "r" + asked++;
        List<RequestClass> kinds = settings.classes();
        RequestClass kind = kinds.get(random.nextInt(kinds.size()));
        int tenant = random.nextInt(settings.tenants().size());
        int deadline = 150 + random.nextInt(1200);
        unsettled.add(id);
        new Client(id).send(kind, settings.tenants().get(tenant).name(), deadline);
    }

    /** Something happens to one endpoint, or to all, and is over after a while. */
    private void scheduleTrouble() {
        time.after(200 + random.nextDouble() * 600, () -> {
            Endpoint one = endpoints.get(random.nextInt(ENDPOINTS));
            double lasts = 200 + random.nextDouble() * 900;
            if (one.busyWith == null) {
                trouble(one, lasts);
            }
            scheduleTrouble();
        });
    }

    private void trouble(Endpoint one, double lasts) {
        one.busyWith = "trouble";
        switch (random.nextInt(8)) {
            case 0 -> during(one, Trouble.SLOW, lasts);
            case 1 -> during(one, Trouble.HANGS, lasts);
            case 2 -> during(one, Trouble.ERRORS, lasts);
            case 3 -> during(one, Trouble.FULL, lasts);
            case 4 -> {
                one.stopListening();
                during(one, Trouble.REFUSES_CONNECTS, lasts);
            }
            case 5 -> {
                count("overload");
                load = 4;
                time.after(lasts, () -> {
                    load = 1;
                    one.busyWith = null;
                });
            }
            default -> {
                // A release: it drains, is gone, and is back as a new process, which is cold.
                count("drain");
                one.state = EndpointStatus.DRAINING;
                tell(one);
                time.after(lasts, () -> {
                    one.state = EndpointStatus.GONE;
                    tell(one);
                });
                time.after(lasts * 1.5, () -> {
                    count("cold start");
                    one.state = EndpointStatus.READY;
                    one.startedMs = time.now();
                    exchange.onEndpointList(list(random.nextInt(2) == 0));
                    one.busyWith = null;
                });
            }
        }
    }

    private void during(Endpoint one, Trouble trouble, double lasts) {
        count(trouble.name());
        one.trouble = trouble;
        time.after(lasts, () -> {
            one.trouble = Trouble.NONE;
            one.busyWith = null;
            if (trouble == Trouble.REFUSES_CONNECTS) {
                one.listen(one.address);
            }
        });
    }

    private void tell(Endpoint one) {
        exchange.onEndpointList(new EndpointList(1, false, List.of(one.entry())));
    }

    private EndpointList list(boolean full) {
        return new EndpointList(
                1,
                full,
                endpoints.stream()
                        .filter(one -> one.state != EndpointStatus.GONE)
                        .map(Endpoint::entry)
                        .toList());
    }

    private final class Recorder implements RequestObserver {

        private void line(String what) {
            decisions.add(String.format(Locale.ROOT, "%.3f %s", time.now() - began, what));
        }

        @Override
        public void onRequest(Request request) {
            deadlines.put(request.id(), request.deadlineMs());
            line("taken " + request.id() + " class " + request.classIndex() + " tenant " + request.tenantIndex()
                    + " until " + (request.deadlineMs() - began));
        }

        @Override
        public void onAttemptStarted(String id, int attempt, String server, double timeoutMs) {
            line("sent " + id + "#" + attempt + " to " + server + " for " + timeoutMs);
            attempts.put(id, attempt);
            waits.put(id, Math.min(timeoutMs, deadlines.get(id) - time.now()));
            unsettled.add(id);
        }

        @Override
        public void onAttemptFinished(String id, int attempt, AttemptOutcome outcome) {
            line("ended " + id + "#" + attempt + " " + outcome);
            ended.add(id + "#" + attempt);
            count(outcome.name());
        }

        @Override
        public void onConcluded(String id, Conclusion end, double coolDownMs) {
            line("concluded " + id + " " + end + " " + coolDownMs);
            unsettled.add(id);
            count(end.name());
        }
    }

    /** A stand-in endpoint, whose answers come by the clock that the test moves. */
    private final class Endpoint extends ChannelInitializer<SocketChannel> {
        private final int number;
        private Channel listener;
        private InetSocketAddress address;
        private EndpointStatus state = EndpointStatus.READY;
        private double startedMs;
        private Trouble trouble = Trouble.NONE;
        private String busyWith;

        Endpoint(int number) {
            this.number = number;
        }

        void listen(InetSocketAddress at) {
            var bound = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.SO_BACKLOG, 1024)
                    .childHandler(this)
                    .bind(at);
            if (!loop.inEventLoop()) {
                bound.syncUninterruptibly();
            }
            listener = bound.channel();
            // On the event loop it is bound only later, at the address that it had.
            address = address == null ? (InetSocketAddress) listener.localAddress() : address;
        }

        /** On the event loop a listener is closed at once; connections that stand go on. */
        void stopListening() {
            listener.close();
        }

        EndpointList.Entry entry() {
            return new EndpointList.Entry(
                    new martenlatch.policy.api.Endpoint("s" + number, number % 2, 0, number / 2, startedMs, state, 1),
                    state == EndpointStatus.GONE ? null : address);
        }

        @Override
        protected void initChannel(SocketChannel accepted) {
            accepted.pipeline()
                    .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(65536),
                            new SimpleChannelInboundHandler<FullHttpRequest>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                    received(ctx.channel(), request);
                                }

                                @Override
                                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                    ctx.close();
                                }
                            });
        }

        private void received(Channel by, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            int attempt = attempts.get(id);
            receipts.add(id + "#" + attempt + " at s" + number + " for "
                    + request.headers().get("X-Deadline-Ms"));
            // What comes of it hangs on the attempt alone, so that it is the same in both modes.
            SplittableRandom fate = new SplittableRandom(seed * 1_000_003 + id.hashCode() * 31L + attempt);
            double service = 5 + 40 * fate.nextDouble() * (trouble == Trouble.SLOW ? 8 : 1) * Math.sqrt(load);
            int spoilt = fate.nextInt(100);
            Trouble now = trouble;
            if (now != Trouble.HANGS && spoilt != 0) {
                time.after(service, () -> answer(by, id, attempt, now, spoilt));
            }
            settled(id);
        }

        private void answer(Channel by, String id, int attempt, Trouble now, int spoilt) {
            if (ended.contains(id + "#" + attempt)) {
                return;
            }
            unsettled.add(id);
            if (spoilt == 1 || spoilt == 2) {
                by.config().setOption(ChannelOption.SO_LINGER, 0);
                by.close();
                return;
            }
            int status = now == Trouble.ERRORS || spoilt == 3
                    ? 500
                    : now == Trouble.FULL || spoilt == 4
                            ? 503
                            : spoilt == 5 ? 504 : spoilt == 6 ? 404 : spoilt == 7 ? 502 : 200;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer("ok " + id, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (status == 503 || status == 504) {
                response.headers().set("X-Not-Run", spoilt % UNPROVEN == 11 ? "0" : "1");
            }
            // Which connections stand is the proxy's matter in one mode; here none do, so all meet the same.
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            by.writeAndFlush(response);
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String id;

        Client(String id) {
            this.id = id;
        }

        void send(RequestClass kind, String tenant, int deadline) {
            boolean safe = kind.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api?q=1",
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[64]));
            request.headers()
                    .set("Host", "app.svc")
                    .set("X-Request-Id", id)
                    .set("X-Class", kind.name())
                    .set("X-Tenant", tenant)
                    .set("X-Deadline-Ms", deadline)
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(65536), Client.this);
                        }
                    })
                    .connect(front)
                    .addListener((io.netty.channel.ChannelFuture up) -> {
                        if (up.isSuccess()) {
                            up.channel().writeAndFlush(request);
                        } else {
                            done.completeExceptionally(up.cause());
                        }
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            String body = response.content().toString(StandardCharsets.US_ASCII);
            if (status == 200 && !body.equals("ok " + id)) {
                done.completeExceptionally(new AssertionError(id + " was served " + body));
            }
            // A failure is 502 here and 500 or 504 there; all else is the same.
            answers.put(id, status == 502 || status == 504 ? 500 : status);
            ctx.close();
            settled(id);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!answers.containsKey(id)) {
                done.completeExceptionally(new AssertionError(id + " had no answer"));
            }
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
                    closing.forEach(Runnable::run);
                    endpoints.forEach(one -> one.listener.close());
                })
                .syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
