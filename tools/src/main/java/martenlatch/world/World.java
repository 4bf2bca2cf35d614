package martenlatch.world;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Emulates endpoints and discovery on the loopback interface, with one ledger for all endpoints. */
public final class World implements Closeable {

    private final MultiThreadIoEventLoopGroup group;
    private final Ledger ledger;
    private final Discovery discovery;
    private final List<Endpoint> endpoints = new ArrayList<>();

    /**
     * Starts the endpoints and discovery.
     *
     * @param discoveryPort port on which discovery listens, or 0 for a port of the system's choice
     */
    public World(WorldSettings settings, int discoveryPort) {
        this(settings, discoveryPort, new Ledger(settings.ids()));
    }

    /** Starts the endpoints and discovery with the caller's ledger. */
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
            Endpoint endpoint = new Endpoint(
                    "s" + i,
                    settings.zones().get(i % settings.zones().size()),
                    loops.get(i % loops.size()),
                    settings,
                    ledger,
                    settings.seed() + i);
            endpoint.listen(0);
            endpoints.add(endpoint);
            discovery.put(endpoint, "in_service");
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

    /** Drains an endpoint, and lists it as terminating. */
    public void drain(int number) {
        discovery.put(endpoints.get(number), "terminating");
        endpoints.get(number).drain();
    }

    /** Emulates a crash of an endpoint; its list entry does not change. */
    public void die(int number) {
        endpoints.get(number).die();
    }

    /** Lists an endpoint as terminated; the endpoint itself does not change. */
    public void remove(int number) {
        discovery.put(endpoints.get(number), "terminated");
    }

    /** Restarts an endpoint on its address, cold, and lists it as in service. */
    public void restart(int number) {
        endpoints.get(number).restart();
        discovery.put(endpoints.get(number), "in_service");
    }

    /** Runs a task on each event loop, for tests that block the event loops. */
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
