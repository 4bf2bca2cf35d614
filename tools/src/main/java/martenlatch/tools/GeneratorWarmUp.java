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
 * Warms up the JVM before a load run with a short load on an endpoint in the same process. A cold JVM that starts at
 * the full rate falls about one second behind the schedule.
 */
final class GeneratorWarmUp {

    /** The final rate is above what interpreted code can send, so that the JVM compiles the code of the generator. */
    private static final String SHAPE = "ramp 500 8000 2";
    /** Few, so that the warm-up works under a low limit of file descriptors. */
    private static final int CONNECTIONS = 4;

    private GeneratorWarmUp() {}

    /** Runs the warm-up with the request classes of the load, and returns its report. */
    static LoadReport run(List<LoadClass> classes) throws IOException, InterruptedException {
        try (World world = new World(WorldSettings.plain(1, ServiceTime.parse("constant 0")), 0)) {
            List<InetSocketAddress> targets = List.of(world.endpoints().get(0).address());
            return new LoadRun(
                            new LoadPlan(targets, 1, CONNECTIONS, 0),
                            Arrivals.drawn(new Schedule(List.of(Shape.parse(SHAPE)), true, 1), classes, 1),
                            (loop, maxConnections) -> new HttpDriver(loop, targets, maxConnections),
                            second -> {})
                    .run();
        }
    }
}
