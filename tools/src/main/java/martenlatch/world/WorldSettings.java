package martenlatch.world;

import java.util.List;

/**
 * The settings of an emulated world.
 *
 * @param endpoints number of endpoints
 * @param zones zone names; endpoints are assigned to them in turn
 * @param service service time of a request
 * @param slots requests that an endpoint serves at once
 * @param queue requests that wait at an endpoint; further ones are rejected
 * @param coldMs how long an endpoint is cold after a restart
 * @param coldFactor factor on the service time of a cold endpoint
 * @param drainGraceMs how long after the start of a drain new requests may still arrive
 * @param threads number of event loops, shared by all endpoints
 * @param ids number of request ids that the ledger keeps
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
        requireWithin("endpoints", endpoints, 1, 10_000);
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("zones must name at least one zone but is empty");
        }
        requireWithin("slots", slots, 1, 1_000_000);
        requireWithin("queue", queue, 0, 1_000_000);
        requireWithin("cold-ms", coldMs, 0, 600_000);
        requireWithin("cold-factor", coldFactor, 1, 1000);
        requireWithin("drain-grace-ms", drainGraceMs, 0, 60_000);
        requireWithin("threads", threads, 1, 64);
        requireWithin("ids", ids, 1, 100_000_000);
    }

    private static void requireWithin(String field, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(
                    field + " must be " + (long) min + " to " + (long) max + " but is " + value);
        }
    }

    /** Returns settings for endpoints of one zone that are never full. */
    public static WorldSettings plain(int endpoints, ServiceTime service) {
        return new WorldSettings(endpoints, List.of("a"), service, 1_000_000, 0, 1000, 3, 500, 1, 2_000_000, 1);
    }
}
