package martenlatch.world;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Endpoints and their discovery on loopback, and one ledger of what endpoints see. */
public final class World implements Closeable {

    private final MultiThreadIoEventLoopGroup group;
    private final Ledger ledger;
    private final Discovery discovery;
    private final List<Endpoint> endpoints = new ArrayList<>();

    /**
     * Starts it.
     *
     * @param discoveryPort where discovery listens, or 0 for a port of the system's choice
     */
    public World(WorldSettings settings, int discoveryPort) {
        this(settings, discoveryPort, new Ledger(settings.ids()));
    }

    /** As above, with a ledger that the caller has made. */
    public World(WorldSettings settings, int discoveryPort, Ledger ledger) {
        group = new MultiThreadIoEventLoopGroup(
                settings.threads() + 1, new DefaultThreadFactory("world", true), NioIoHandler.newFactory());
        this.ledger = ledger;
        discovery = new Discovery((EventLoop) group.next());
        discovery.listen(discoveryPort);
        List<EventLoop> loops = new ArrayList<>();
        for (int i = 0; i < settings.threads(); i++) {
            loops.add((EventLoop) group.next());
        }
        for (int i = 0; i < settings.endpoints(); i++) {
            Endpoint made = new Endpoint(
                    "s" + i,
                    settings.zones().get(i % settings.zones().size()),
                    loops.get(i % loops.size()),
                    settings,
                    ledger,
                    settings.seed() + i);
            made.listen(0);
            endpoints.add(made);
            discovery.put(made, "in_service");
        }
    }

    public List<Endpoint> endpoints() {
        return endpoints;
    }

    public Discovery discovery() {
        return discovery;
    }

    public Ledger ledger() {
        return ledger;
    }

    /** An endpoint is told to take nothing new, and discovery tells so. */
    public void drain(int number) {
        discovery.put(endpoints.get(number), "terminating");
        endpoints.get(number).drain();
    }

    /** An endpoint's process dies; discovery does not know. */
    public void die(int number) {
        endpoints.get(number).die();
    }

    /** Discovery tells that an endpoint is gone. */
    public void remove(int number) {
        discovery.put(endpoints.get(number), "terminated");
    }

    /** An endpoint that has died starts at its address, cold, and discovery tells so. */
    public void restart(int number) {
        endpoints.get(number).restart();
        discovery.put(endpoints.get(number), "in_service");
    }

    /** Runs a task on each event loop, for tests that hold the loops up. */
    void runOnAllLoops(Runnable task) {
        group.forEach(loop -> loop.execute(task));
    }

    @Override
    public void close() {
        endpoints.forEach(Endpoint::close);
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
