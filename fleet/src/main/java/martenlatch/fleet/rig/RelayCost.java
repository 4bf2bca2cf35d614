package martenlatch.fleet.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import martenlatch.fleet.link.LinkObserver;
import martenlatch.fleet.link.LoopbackAddresses;
import martenlatch.fleet.link.StreamLink;
import martenlatch.load.Arrivals;
import martenlatch.load.LoadClass;
import martenlatch.load.LoadPlan;
import martenlatch.load.LoadReport;
import martenlatch.load.LoadRun;
import martenlatch.load.Schedule;
import martenlatch.load.Shape;
import martenlatch.load.http.HttpDriver;
import martenlatch.world.ServiceTime;
import martenlatch.world.World;
import martenlatch.world.WorldSettings;

/**
 * Measures the latency that a relay adds: runs the same load on an endpoint that responds immediately, without and
 * with a relay.
 */
public final class RelayCost {

    private static final int CONNECTIONS = 64;
    private static final double WARM_UP_SECONDS = 3;

    private RelayCost() {}

    /** Returns both reports, the one without a relay first. */
    public static List<LoadReport> measure(double rate, double seconds) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
        try (World world = new World(WorldSettings.plain(1, ServiceTime.parse("constant 0")), 0)) {
            InetSocketAddress direct = world.endpoints().get(0).address();
            StreamLink link = new StreamLink(
                            (EventLoop) group.next(),
                            "load",
                            "s0",
                            direct,
                            1,
                            new LinkObserver() {
                                @Override
                                public void onRequest(String from, String to, String id) {
                                    return;
                                }

                                @Override
                                public void onLate(double ms) {
                                    return;
                                }
                            },
                            System::nanoTime)
                    .listen(new LoopbackAddresses(ProcessHandle.current().pid()).next());
            return List.of(load(direct, rate, seconds), load(link.address(), rate, seconds));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static LoadReport load(InetSocketAddress target, double rate, double seconds)
            throws IOException, InterruptedException {
        List<InetSocketAddress> targets = List.of(target);
        List<LoadClass> kinds = List.of(new LoadClass("look-up", 1, LoadClass.Effect.REPEATABLE, 0, 1000, 0));
        return new LoadRun(
                        new LoadPlan(targets, 1, CONNECTIONS, WARM_UP_SECONDS),
                        Arrivals.drawn(
                                new Schedule(List.of(new Shape.Constant(rate, seconds + WARM_UP_SECONDS)), true, 1),
                                kinds,
                                1),
                        (loop, maxConnections) -> new HttpDriver(loop, targets, maxConnections),
                        second -> {})
                .run();
    }
}
