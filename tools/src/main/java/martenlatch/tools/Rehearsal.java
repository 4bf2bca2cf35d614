package martenlatch.tools;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
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
 * A short load on an endpoint of its own, in the same process and by the same code, before the one that is
 * asked for: a cold JVM that is asked for its full rate at once falls a second behind.
 */
final class Rehearsal {

    /** By its end the rate is above what interpreted code can do, so that all of it is compiled. */
    private static final String SHAPE = "ramp 500 8000 2";
    /** It must get by with few descriptors. */
    private static final int CONNECTIONS = 4;

    private Rehearsal() {}

    /** Plays it, with the classes of the load to come; its report is for whoever wants to look. */
    static LoadReport play(List<LoadClass> kinds) throws IOException, InterruptedException {
        try (World world = new World(WorldSettings.plain(1, ServiceTime.parse("constant 0")), 0)) {
            List<InetSocketAddress> targets = List.of(world.endpoints().get(0).address());
            return new LoadRun(
                            new LoadPlan(targets, 1, CONNECTIONS, 0),
                            Arrivals.drawn(new Schedule(List.of(Shape.parse(SHAPE)), true, 1), kinds, 1),
                            (loop, most) -> new HttpDriver(loop, targets, most),
                            second -> {})
                    .run();
        }
    }
}
