package martenlatch.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TimeZone;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import martenlatch.admin.AdminServer;
import martenlatch.admin.Operations;
import martenlatch.discovery.DiscoveryClient;
import martenlatch.discovery.PollTiming;
import martenlatch.front.http.Frontend;
import martenlatch.net.LoopTime;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.site.PeerAddresses;
import martenlatch.site.SiteConfig;
import martenlatch.upstream.EndpointPool;

/** One real sidecar: its parts on one event loop, which is the only thread that touches any of them. */
public final class Sidecar {

    /** Descriptors beyond those that the JVM holds from its start: warm-up, discovery, a round of accepts. */
    private static final int SPARE_SOCKETS = 32;
    /**
     * And where operators call: their connections, the listener, the shared folder's lock and a look into
     * it.
     */
    private static final int ADMIN_SOCKETS = AdminServer.MOST + 4;
    /** Clients sent away: the last of them may still come so long after. */
    private static final int LAST_COMERS_MS = 1000;
    /** What the JVM holds open where the system does not tell. */
    private static final int USUAL_FILES = 32;

    private static final int LEAST_CONNECTIONS = 8;
    /** New connections still come for a while after SIGTERM: until then the listener stays open. */
    private static final int LINGER_MS = 600;

    private static final int EMPTY_POLL_MS = 10;
    /** SIGKILL comes no sooner after SIGTERM than the longest deadline, or this, and the slack more. */
    private static final int MOST_WAIT_MS = 3000;

    private static final int KILL_SLACK_MS = 700;
    /** The last of that time belongs to what is in hand, and the very last to a busy machine. */
    private static final int FINISH_MS = 700;

    private static final int DRAIN_SLACK_MS = 300;

    private final Path file;
    private final PrintStream log;
    private SiteConfig config;
    private Scheduler time;
    private RateLimitedLogger complaints;
    private Operations operations;
    private AdminServer admin;
    private Scheduler.Timer goodbye;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    /** The first answer of discovery has come. */
    private final CountDownLatch firstWord = new CountDownLatch(1);

    private Frontend frontend;
    private DiscoveryClient discovery;
    private EndpointPool endpoints;
    private InetSocketAddress address;
    private InetSocketAddress adminAddress;
    private volatile long mostDeadlineMs;
    private RequestTracker exchange;
    private SplittableRandom random;
    /** Null where the sidecars say nothing to each other. */
    private PeerHost peers;

    private Sidecar(Path file, PrintStream log) {
        this.file = file;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("sidecar"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /**
     * Reads the configuration, listens and warms up; what goes wrong is an exception whose message says so
     * plainly. It returns once the sidecar is warm.
     *
     * @param shared the folder that outlives this process, or null
     */
    public static Sidecar start(Path file, Path shared, PrintStream log) throws IOException {
        return start(file, shared, false, log);
    }

    /**
     * The same.
     *
     * @param withPeers whether it and the other sidecars keep each other informed
     */
    public static Sidecar start(Path file, Path shared, boolean withPeers, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(file);
        // The library's log writes local times, whose rules are read from a file at the first line: in the
        // middle of trouble there may be no descriptor for it, and the error would end the event loop.
        TimeZone.getDefault();
        Sidecar sidecar = new Sidecar(file, log);
        try {
            sidecar.loop.submit(() -> sidecar.build(config, shared)).syncUninterruptibly();
            if (config.admin() != null) {
                sidecar.adminAddress = sidecar.bind(() -> sidecar.admin.listen(config.admin()), config.admin());
            }
            if (withPeers) {
                sidecar.joinPeers(config);
            }
            // Where another process serves, clients are divided between both, and must not meet a cold one.
            // Where none does, a client that is taken in early waits a little, and one that is refused
            // finds nobody.
            boolean beside = sidecar.operations.othersServe();
            if (!config.settings().pollsEndpointList()) {
                // What the agent has counts as told already: the list in the file may be older.
                sidecar.firstWord.await(PollTiming.FULL_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            if (!beside) {
                sidecar.listen(config);
            }
            CountDownLatch warm = new CountDownLatch(1);
            sidecar.warm(config, warm::countDown);
            warm.await();
            if (beside) {
                sidecar.listen(config);
            }
            log.println("martenlatch: serves at " + sidecar.address);
            return sidecar;
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void joinPeers(SiteConfig told) throws IOException, InterruptedException {
        PeerAddresses addresses = told.peerAddresses();
        bind(
                () -> {
                    peers = new PeerHost(loop, time, complaints, told.settings(), addresses, told.seed());
                    return peers.listen(addresses.listen());
                },
                addresses.listen());
        loop.execute(peers::start);
    }

    private void listen(SiteConfig told) throws IOException, InterruptedException {
        // Whoever is told that this process is ready must find that others can see it serve.
        operations.serving();
        address = bind(() -> frontend.listen(told.listen()), told.listen());
        log.println("martenlatch: listens at " + address);
    }

    private InetSocketAddress bind(Supplier<ChannelFuture> listen, InetSocketAddress at)
            throws IOException, InterruptedException {
        ChannelFuture bound = listen.get().await();
        if (!bound.isSuccess()) {
            stop();
            throw new IOException(
                    "cannot listen on " + at + ": " + bound.cause().getMessage());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void build(SiteConfig told, Path shared) {
        config = told;
        random = new SplittableRandom(told.seed());
        mindDeadlines();
        time = new LoopTime(loop);
        complaints = new RateLimitedLogger(time, log);
        int spare = SPARE_SOCKETS + (config.admin() == null ? 0 : ADMIN_SOCKETS);
        int half = Math.max(LEAST_CONNECTIONS, (config.sockets() - openFiles() - spare) / 2);
        endpoints = new EndpointPool(
                loop, time, complaints, config.settings().limits().connectTimeoutMs(), config.idleCloseMs(), half);
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
                endpoints,
                discovery::start,
                config.settings(),
                config.seed(),
                config.known(),
                RequestObserver.NONE);
        operations = new Operations(time, complaints, new Service());
        admin = new AdminServer(loop, operations);
        discovery.setListener(new Lists(), config.known().version());
        frontend = new Frontend(
                loop,
                time,
                complaints,
                exchange,
                endpoints,
                config.settings(),
                Math.max(LEAST_CONNECTIONS, half - Frontend.OVERFLOW));
        operations.listed(config.known());
        if (config.admin() != null) {
            operations.share(shared, config.name(), loop);
        }
    }

    private void mindDeadlines() {
        // Those that hold now: who stops this process goes by them, whatever they were before. Written once,
        // as a stop reads it on its own thread, perhaps in the middle of a reload.
        long most = 0;
        for (RequestClass kind : config.settings().classes()) {
            most = Math.max(most, (long) kind.deadlineMs());
        }
        mostDeadlineMs = most;
    }

    /** What operators may do with this sidecar. */
    private final class Service implements Operations.Service {
        @Override
        public boolean ready() {
            return frontend.isReady();
        }

        @Override
        public void drain(boolean away) {
            if (goodbye != null) {
                goodbye.cancel();
            }
            frontend.away(away);
            goodbye = away ? time.after(LAST_COMERS_MS, frontend::finish) : null;
        }

        @Override
        public String peers() {
            return peers == null ? null : peers.json();
        }

        @Override
        public void disabled(Set<String> endpoints) {
            exchange.disableEndpoints(endpoints);
        }
    }

    /** Lists go to whoever keeps endpoints' names before the decisions hear of them. */
    private final class Lists implements EndpointList.Listener {
        @Override
        public void onEndpointList(EndpointList list) {
            operations.listed(list);
            exchange.onEndpointList(list);
            firstWord.countDown();
        }

        @Override
        public void onPollFailed() {
            exchange.onPollFailed();
        }
    }

    private static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? USUAL_FILES : names.length;
    }

    private void warm(SiteConfig told, Runnable done) {
        long began = System.nanoTime();
        loop.execute(() -> new Warmup(loop, told, () -> {
                    log.println("martenlatch: warm after " + (System.nanoTime() - began) / 1_000_000 + " ms");
                    frontend.warm();
                    done.run();
                })
                .start());
    }

    /**
     * Reads the configuration again, moves to the discovery that it names and takes over its settings;
     * addresses, limits and the known list hold from the next start on. One that cannot be used as a whole
     * changes nothing.
     */
    public void reload() {
        loop.execute(() -> {
            try {
                SiteConfig next = config.again(file);
                if (peers != null) {
                    peers.readdress(next.peerAddresses().each());
                }
                log.println("martenlatch: configuration read again: discovery is at " + next.discovery()
                        + (next.settings().equals(config.settings()) ? "" : ", with new settings"));
                config = next;
                mindDeadlines();
                endpoints.retune(next.settings().limits().connectTimeoutMs(), next.idleCloseMs());
                exchange.applySettings(next.settings());
                frontend.retune(next.settings());
                discovery.moveTo(next.discovery(), random.nextDouble() * PollTiming.maxStartJitterMs(next.settings()));
            } catch (IOException | RuntimeException e) {
                log.println("martenlatch: the configuration stays as it was: " + e.getMessage());
            }
        });
    }

    /**
     * Answers all that is in hand and still comes in, then returns; the sidecar has nothing left to do. While
     * there is time clients go on using the connections that they have: where the others that could serve
     * them are still starting, they would find nobody.
     */
    public void drain() {
        log.println("martenlatch: draining");
        long told = System.nanoTime();
        CountDownLatch empty = new CountDownLatch(1);
        long killedAfterMs = Math.min(mostDeadlineMs, MOST_WAIT_MS) + KILL_SLACK_MS;
        long endMs = killedAfterMs - DRAIN_SLACK_MS;
        long lastCallMs = Math.max(LINGER_MS, endMs - FINISH_MS);
        boolean hasHeir = operations.leave();
        loop.execute(() -> {
            // A loop that is held up is told late, and the kill does not wait for it.
            long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - told);
            if (peers != null) {
                peers.leave();
            }
            // What is due at once is done in this order: who waits to be accepted comes before the last call.
            if (hasHeir) {
                log.println("martenlatch: another process serves at this address");
                frontend.handOver(endMs - lateMs);
            } else {
                frontend.drain(endMs - lateMs);
                loop.schedule(frontend::closeListener, LINGER_MS - lateMs, TimeUnit.MILLISECONDS);
            }
            loop.schedule(frontend::finish, lastCallMs - lateMs, TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (frontend.isEmpty()) {
                            empty.countDown();
                        }
                    },
                    Math.max(0, LINGER_MS - lateMs),
                    EMPTY_POLL_MS,
                    TimeUnit.MILLISECONDS);
        });
        try {
            // Every request has had its answer by then; who does not take it is not waited for.
            empty.await(endMs + DRAIN_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(
                empty.getCount() == 0 ? "martenlatch: drained" : "martenlatch: not all connections were empty in time");
        stop();
    }

    /** What its tables hold: open requests and known endpoints; to be asked on the event loop. */
    List<Integer> tableSizes() {
        return List.of(exchange.pendingRequests(), endpoints.size());
    }

    /** What bodies hold, in bytes; to be asked on the event loop. */
    long bodyRoomTaken() {
        return frontend.bodyRoomTaken();
    }

    EventLoop loop() {
        return loop;
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where operators call, or null. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Ends everything at once. */
    public void stop() {
        if (operations != null) {
            operations.close();
        }
        if (peers != null) {
            loop.execute(peers::close);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
