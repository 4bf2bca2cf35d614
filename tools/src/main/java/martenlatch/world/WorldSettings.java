package martenlatch.world;

import java.util.List;

/**
 * A world.
 *
 * @param endpoints how many there are
 * @param zones their names; endpoints are dealt out among them in turn
 * @param service how long a request takes
 * @param slots requests that an endpoint works on at once
 * @param queue requests that wait there; more are turned away
 * @param coldMs for how long a started endpoint is cold
 * @param coldFactor how much longer it takes meanwhile
 * @param drainGraceMs how long after a drain was told something new may still come
 * @param threads event loops for all endpoints together
 * @param ids how many requests are remembered by id
 */
public record WorldSettings(
        int endpoints,
        List<String> zones,
        ServiceTime service,
        int slots,
        int queue,
        double coldMs,
        double coldFactor,
        double drainGraceMs,
        int threads,
        int ids,
        long seed) {

    public WorldSettings {
        zones = List.copyOf(zones);
        within("endpoints", endpoints, 1, 10_000);
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("zones must name one but is empty");
        }
        within("slots", slots, 1, 1_000_000);
        within("queue", queue, 0, 1_000_000);
        within("cold-ms", coldMs, 0, 600_000);
        within("cold-factor", coldFactor, 1, 1000);
        within("drain-grace-ms", drainGraceMs, 0, 60_000);
        within("threads", threads, 1, 64);
        within("ids", ids, 1, 100_000_000);
    }

    private static void within(String field, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(
                    field + " must be " + (long) least + " to " + (long) most + " but is " + value);
        }
    }

    /** Endpoints that answer at once and are never full, in one zone. */
    public static WorldSettings plain(int endpoints, ServiceTime service) {
        return new WorldSettings(endpoints, List.of("a"), service, 1_000_000, 0, 1000, 3, 500, 1, 2_000_000, 1);
    }
}
