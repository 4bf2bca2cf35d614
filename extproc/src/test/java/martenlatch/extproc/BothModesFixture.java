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
 * Runs a seeded script of clients, endpoints and endpoint lists over real sockets in one of two modes. The clock stands
 * still while a message is in transit: the next task runs only when every request has either reached an endpoint or
 * been answered. Everything runs on one event loop.
 */
final class BothModesFixture implements Closeable {

    /** What handles the requests between clients and endpoints. */
    enum Mode {
        HTTP,
        EXTERNAL_PROCESSOR
    }

    private static final InetSocketAddress LOOPBACK = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int ENDPOINTS = 8;
    private static final int SCRIPT_TIMEOUT_S = 100;
    /** A full endpoint omits the proof of non-execution if its random draw has remainder 11 modulo this number. */
    private static final int UNPROVEN_MODULUS = 12;

    private enum Fault {
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
    private final ManualScheduler scheduler = new ManualScheduler();
    private final double startMs = scheduler.now();
    /** All decisions and outcomes, in order; the next fields hold what endpoints and clients observe. */
    final List<String> decisions = new ArrayList<>();

    final List<String> receipts = new ArrayList<>();
    final Map<String, Integer> answers = new HashMap<>();
    final Map<String, Integer> counts = new HashMap<>();
    private final Set<String> inTransit = new HashSet<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Map<String, Double> deadlinesMs = new HashMap<>();
    /** The time-out of the latest attempt of each request, in milliseconds. */
    private final Map<String, Double> timeoutsMs = new HashMap<>();

    private final List<Endpoint> endpoints = new ArrayList<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final List<Runnable> closeActions = new ArrayList<>();
    private final RateLimitedLogger logger =
            new RateLimitedLogger(scheduler, new PrintStream(java.io.OutputStream.nullOutputStream()));
    private RequestTracker requestTracker;
    private InetSocketAddress frontendAddress;
    private int sentRequests;
    private boolean stepping;
    private double loadFactor = 1;

    /** Builds both sides without starting the script; the decorator wraps the connections to endpoints. */
    BothModesFixture(
            Mode mode,
            long seed,
            int requests,
            BalancerSettings settings,
            java.util.function.UnaryOperator<EndpointConnections> connectionsDecorator)
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
                        buildSidecar(connectionsDecorator);
                    } else {
                        buildProcessor(connectionsDecorator);
                    }
                    return null;
                })
                .get();
    }

    private void buildSidecar(java.util.function.UnaryOperator<EndpointConnections> connectionsDecorator) {
        EndpointPool pool = new EndpointPool(loop, scheduler, logger, 10_000, 15_000, 4000);
        requestTracker = new RequestTracker(
                scheduler, logger, connectionsDecorator.apply(pool), () -> {}, settings, 7, list(true), new Recorder());
        Frontend frontend = new Frontend(loop, scheduler, logger, requestTracker, pool, settings, 4000);
        var bound = frontend.listen(LOOPBACK);
        frontendAddress = (InetSocketAddress) bound.channel().localAddress();
        bound.addListener(
                up -> frontendAddress = (InetSocketAddress) bound.channel().localAddress());
        closeActions.add(frontend::close);
        closeActions.add(pool::close);
    }

    private void buildProcessor(java.util.function.UnaryOperator<EndpointConnections> connectionsDecorator)
            throws Exception {
        EndpointAddresses addresses = new EndpointAddresses();
        requestTracker = new RequestTracker(
                scheduler,
                logger,
                connectionsDecorator.apply(addresses),
                () -> {},
                settings,
                7,
                list(true),
                new Recorder());
        ExtProcSettings extProcSettings = new ExtProcSettings(LOOPBACK, 2000, 2000, 300, 10_000, 100_000, 100, 250);
        Processor processor =
                new Processor(scheduler, loop, logger, requestTracker, addresses, extProcSettings, settings);
        CompletableFuture<Server> listening = CompletableFuture.supplyAsync(() -> {
            try {
                return ExtProcServer.listen(extProcSettings, processor, loop);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        listening.thenAcceptAsync(
                server -> {
                    closeActions.add(server::shutdownNow);
                    StandInProxy proxy = new StandInProxy(
                            loop,
                            scheduler,
                            (InetSocketAddress) server.getListenSockets().get(0),
                            new StandInProxy.Options(100, 10_000, 9, StandInProxy.ProcessorFailureMode.FAIL, null),
                            new StandInProxy.Behavior() {
                                /**
                                 * Uses the exact time-out, because a decision carries whole milliseconds and both sides
                                 * must end together.
                                 */
                                @Override
                                public double waitMs(String id, int attempt, double timeoutMs) {
                                    return timeoutsMs.get(id);
                                }
                            });
                    var bound = proxy.listen(LOOPBACK);
                    bound.addListener(up -> frontendAddress =
                            (InetSocketAddress) bound.channel().localAddress());
                    closeActions.add(proxy::close);
                },
                loop);
    }

    /** Runs the script to its end. */
    BothModesFixture run() throws Exception {
        while (loop.submit(() -> frontendAddress == null || frontendAddress.getPort() == 0)
                .get()) {
            Thread.sleep(1);
        }
        loop.execute(() -> {
            scheduleArrival();
            scheduleFault();
            step();
        });
        try {
            done.get(SCRIPT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (java.util.concurrent.TimeoutException e) {
            throw new AssertionError(
                    "stuck at " + (scheduler.now() - startMs) + " with " + inTransit + ", last "
                            + decisions.subList(Math.max(0, decisions.size() - 5), decisions.size()) + " "
                            + receipts.subList(Math.max(0, receipts.size() - 5), receipts.size()),
                    e);
        }
        return this;
    }

    /** Runs due tasks until one of them puts a message in transit or the script has ended. */
    private void step() {
        if (stepping || done.isDone()) {
            return;
        }
        stepping = true;
        try {
            while (inTransit.isEmpty()) {
                if (sentRequests == requests && requestTracker.pendingRequests() == 0) {
                    done.complete(null);
                    return;
                }
                scheduler.advanceTo(scheduler.nextDue());
            }
        } catch (RuntimeException | AssertionError e) {
            done.completeExceptionally(e);
        } finally {
            stepping = false;
        }
    }

    private void markArrived(String id) {
        if (inTransit.remove(id) && inTransit.isEmpty()) {
            loop.execute(this::step);
        }
    }

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    // ---- the script ----

    private void scheduleArrival() {
        // Exponential gaps: four requests per 10 ms, and four times as many during overload.
        double gapMs = -2.5 / loadFactor * Math.log(1 - random.nextDouble());
        scheduler.after(gapMs, () -> {
            sendRequest();
            if (sentRequests < requests) {
                scheduleArrival();
            }
        });
    }

    private void sendRequest() {
        String id = "r" + sentRequests++;
        List<RequestClass> requestClasses = settings.classes();
        RequestClass requestClass = requestClasses.get(random.nextInt(requestClasses.size()));
        int tenant = random.nextInt(settings.tenants().size());
        int deadlineMs = 150 + random.nextInt(1200);
        inTransit.add(id);
        new Client(id).send(requestClass, settings.tenants().get(tenant).name(), deadlineMs);
    }

    /** Schedules a temporary fault of one endpoint or an overload of all. */
    private void scheduleFault() {
        scheduler.after(200 + random.nextDouble() * 600, () -> {
            Endpoint endpoint = endpoints.get(random.nextInt(ENDPOINTS));
            double durationMs = 200 + random.nextDouble() * 900;
            if (endpoint.busyReason == null) {
                injectFault(endpoint, durationMs);
            }
            scheduleFault();
        });
    }

    private void injectFault(Endpoint endpoint, double durationMs) {
        endpoint.busyReason = "fault";
        switch (random.nextInt(8)) {
            case 0 -> applyFault(endpoint, Fault.SLOW, durationMs);
            case 1 -> applyFault(endpoint, Fault.HANGS, durationMs);
            case 2 -> applyFault(endpoint, Fault.ERRORS, durationMs);
            case 3 -> applyFault(endpoint, Fault.FULL, durationMs);
            case 4 -> {
                endpoint.stopListening();
                applyFault(endpoint, Fault.REFUSES_CONNECTS, durationMs);
            }
            case 5 -> {
                count("overload");
                loadFactor = 4;
                scheduler.after(durationMs, () -> {
                    loadFactor = 1;
                    endpoint.busyReason = null;
                });
            }
            default -> {
                // A release: the endpoint drains, disappears and returns as a new, cold process.
                count("drain");
                endpoint.status = EndpointStatus.DRAINING;
                publish(endpoint);
                scheduler.after(durationMs, () -> {
                    endpoint.status = EndpointStatus.GONE;
                    publish(endpoint);
                });
                scheduler.after(durationMs * 1.5, () -> {
                    count("cold start");
                    endpoint.status = EndpointStatus.READY;
                    endpoint.startedMs = scheduler.now();
                    requestTracker.onEndpointList(list(random.nextInt(2) == 0));
                    endpoint.busyReason = null;
                });
            }
        }
    }

    private void applyFault(Endpoint endpoint, Fault fault, double durationMs) {
        count(fault.name());
        endpoint.fault = fault;
        scheduler.after(durationMs, () -> {
            endpoint.fault = Fault.NONE;
            endpoint.busyReason = null;
            if (fault == Fault.REFUSES_CONNECTS) {
                endpoint.listen(endpoint.address);
            }
        });
    }

    private void publish(Endpoint endpoint) {
        requestTracker.onEndpointList(new EndpointList(1, false, List.of(endpoint.entry())));
    }

    private EndpointList list(boolean full) {
        return new EndpointList(
                1,
                full,
                endpoints.stream()
                        .filter(endpoint -> endpoint.status != EndpointStatus.GONE)
                        .map(Endpoint::entry)
                        .toList());
    }

    /** Records every decision and its outcome. */
    private final class Recorder implements RequestObserver {

        private void line(String what) {
            decisions.add(String.format(Locale.ROOT, "%.3f %s", scheduler.now() - startMs, what));
        }

        @Override
        public void onRequest(Request request) {
            deadlinesMs.put(request.id(), request.deadlineMs());
            line("taken " + request.id() + " class " + request.classIndex() + " tenant " + request.tenantIndex()
                    + " until " + (request.deadlineMs() - startMs));
        }

        @Override
        public void onAttemptStarted(String id, int attempt, String endpointId, double timeoutMs) {
            line("sent " + id + "#" + attempt + " to " + endpointId + " for " + timeoutMs);
            attempts.put(id, attempt);
            timeoutsMs.put(id, Math.min(timeoutMs, deadlinesMs.get(id) - scheduler.now()));
            inTransit.add(id);
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
            inTransit.add(id);
            count(end.name());
        }
    }

    /** A simulated endpoint whose responses are timed by the manual clock. */
    private final class Endpoint extends ChannelInitializer<SocketChannel> {
        private final int number;
        private Channel listener;
        private InetSocketAddress address;
        private EndpointStatus status = EndpointStatus.READY;
        private double startedMs;
        private Fault fault = Fault.NONE;
        private String busyReason;

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
            // On the event loop the bind completes later, at the endpoint's previous address.
            address = address == null ? (InetSocketAddress) listener.localAddress() : address;
        }

        /** Closes the listener, immediately on the event loop; open connections continue. */
        void stopListening() {
            listener.close();
        }

        EndpointList.Entry entry() {
            return new EndpointList.Entry(
                    new martenlatch.policy.api.Endpoint("s" + number, number % 2, 0, number / 2, startedMs, status, 1),
                    status == EndpointStatus.GONE ? null : address);
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

        private void received(Channel channel, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            int attempt = attempts.get(id);
            receipts.add(id + "#" + attempt + " at s" + number + " for "
                    + request.headers().get("X-Deadline-Ms"));
            // The outcome depends only on the attempt, so that it is the same in both modes.
            SplittableRandom attemptRandom = new SplittableRandom(seed * 1_000_003 + id.hashCode() * 31L + attempt);
            double serviceMs =
                    5 + 40 * attemptRandom.nextDouble() * (fault == Fault.SLOW ? 8 : 1) * Math.sqrt(loadFactor);
            int draw = attemptRandom.nextInt(100);
            Fault activeFault = fault;
            if (activeFault != Fault.HANGS && draw != 0) {
                scheduler.after(serviceMs, () -> answer(channel, id, attempt, activeFault, draw));
            }
            markArrived(id);
        }

        private void answer(Channel channel, String id, int attempt, Fault activeFault, int draw) {
            if (ended.contains(id + "#" + attempt)) {
                return;
            }
            inTransit.add(id);
            if (draw == 1 || draw == 2) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
                return;
            }
            int status = activeFault == Fault.ERRORS || draw == 3
                    ? 500
                    : activeFault == Fault.FULL || draw == 4
                            ? 503
                            : draw == 5 ? 504 : draw == 6 ? 404 : draw == 7 ? 502 : 200;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer("ok " + id, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (status == 503 || status == 504) {
                response.headers().set("X-Not-Run", draw % UNPROVEN_MODULUS == 11 ? "0" : "1");
            }
            // In one mode the proxy manages connections; none is reused, so that both modes see the same.
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            channel.writeAndFlush(response);
        }
    }

    /** A client that sends one request. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String id;

        Client(String id) {
            this.id = id;
        }

        void send(RequestClass requestClass, String tenant, int deadlineMs) {
            boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    idempotent ? HttpMethod.GET : HttpMethod.POST,
                    "/api?q=1",
                    idempotent ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[64]));
            request.headers()
                    .set("Host", "app.svc")
                    .set("X-Request-Id", id)
                    .set("X-Class", requestClass.name())
                    .set("X-Tenant", tenant)
                    .set("X-Deadline-Ms", deadlineMs)
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(65536), Client.this);
                        }
                    })
                    .connect(frontendAddress)
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
                done.completeExceptionally(new AssertionError(id + " received the wrong body " + body));
            }
            // A failure is 502 in HTTP mode and 500 or 504 in external processor mode; all other statuses are equal.
            answers.put(id, status == 502 || status == 504 ? 500 : status);
            ctx.close();
            markArrived(id);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!answers.containsKey(id)) {
                done.completeExceptionally(new AssertionError(id + " received no response"));
            }
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
                    closeActions.forEach(Runnable::run);
                    endpoints.forEach(endpoint -> endpoint.listener.close());
                })
                .syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
