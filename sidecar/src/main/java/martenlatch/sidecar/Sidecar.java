package martenlatch.sidecar;

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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.front.http.Frontend;
import martenlatch.host.Complaints;
import martenlatch.host.Exchange;
import martenlatch.host.Time;
import martenlatch.host.Witness;
import martenlatch.membership.DiscoveryClient;
import martenlatch.net.LoopTime;
import martenlatch.policy.Contract.RequestClass;
import martenlatch.site.SiteConfig;
import martenlatch.upstream.EndpointPool;

/** One real sidecar: its parts on one event loop, which is the only thread that touches any of them. */
public final class Sidecar {

    /** Descriptors beyond those that the JVM holds from its start: warm-up, discovery, a round of accepts. */
    private static final int SPARE_SOCKETS = 32;
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
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private Frontend frontend;
    private DiscoveryClient discovery;
    private EndpointPool endpoints;
    private InetSocketAddress address;
    private long mostDeadlineMs;
    private Exchange exchange;

    private Sidecar(Path file, PrintStream log) {
        this.file = file;
        this.log = log;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("sidecar"),
            NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Reads the configuration and listens; what goes wrong is an exception whose message says so plainly. */
    public static Sidecar start(Path file, PrintStream log) throws IOException {
        SiteConfig config = SiteConfig.read(file);
        Sidecar sidecar = new Sidecar(file, log);
        try {
            sidecar.loop.submit(() -> sidecar.build(config)).syncUninterruptibly();
            var bound = sidecar.frontend.listen(config.listen()).await();
            if (!bound.isSuccess()) {
                sidecar.stop();
                throw new IOException("cannot listen on " + config.listen() + ": "
                    + bound.cause().getMessage());
            }
            sidecar.warm(config);
            sidecar.address = (InetSocketAddress) bound.channel().localAddress();
            return sidecar;
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void build(SiteConfig config) {
        for (RequestClass kind : config.settings().classes()) {
            mostDeadlineMs = Math.max(mostDeadlineMs, (long) kind.deadlineMs());
        }
        Time time = new LoopTime(loop);
        Complaints complaints = new Complaints(time, log);
        int half = Math.max(LEAST_CONNECTIONS, (config.sockets() - openFiles() - SPARE_SOCKETS) / 2);
        endpoints = new EndpointPool(loop, time, complaints,
            config.settings().limits().connectTimeoutMs(), config.idleCloseMs(), half);
        discovery = new DiscoveryClient(loop, config.discovery(), config.names(), complaints);
        exchange = new Exchange(time, complaints, endpoints, discovery::watch, config.settings(),
            config.seed(), config.known(), Witness.NONE);
        discovery.listen(exchange, config.known().version());
        frontend = new Frontend(loop, time, complaints, exchange, endpoints, config.settings(),
            Math.max(LEAST_CONNECTIONS, half - Frontend.OVERFLOW));
    }

    private static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? USUAL_FILES : names.length;
    }

    private void warm(SiteConfig config) {
        long began = System.nanoTime();
        loop.execute(() -> new Warmup(loop, config, () -> {
            frontend.warm();
            log.println("martenlatch: warm after " + (System.nanoTime() - began) / 1_000_000 + " ms");
        }).start());
    }

    /**
     * Reads the configuration again and moves to the discovery that it names; the rest of it holds from the
     * next start on. One that cannot be used changes nothing.
     */
    public void reload() {
        loop.execute(() -> {
            try {
                InetSocketAddress named = SiteConfig.read(file).discovery();
                log.println("martenlatch: configuration read again: discovery is at " + named);
                discovery.move(named);
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
        CountDownLatch empty = new CountDownLatch(1);
        long killedAfterMs = Math.min(mostDeadlineMs, MOST_WAIT_MS) + KILL_SLACK_MS;
        long endMs = killedAfterMs - DRAIN_SLACK_MS;
        long lastCallMs = Math.max(LINGER_MS, endMs - FINISH_MS);
        loop.execute(() -> frontend.drain(endMs));
        loop.schedule(frontend::closeListener, LINGER_MS, TimeUnit.MILLISECONDS);
        loop.schedule(frontend::finish, lastCallMs, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            if (frontend.isEmpty()) {
                empty.countDown();
            }
        }, LINGER_MS, EMPTY_POLL_MS, TimeUnit.MILLISECONDS);
        try {
            // Every request has had its answer by then; who does not take it is not waited for.
            empty.await(endMs + DRAIN_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(empty.getCount() == 0 ? "martenlatch: drained"
            : "martenlatch: not all connections were empty in time");
        stop();
    }

    /** What its tables hold: open requests and known endpoints; to be asked on the event loop. */
    List<Integer> tableSizes() {
        return List.of(exchange.openRequests(), endpoints.size());
    }

    EventLoop loop() {
        return loop;
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ends everything at once. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
