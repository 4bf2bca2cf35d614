package martenlatch.fleet.scenario;

import java.util.List;

/**
 * The size of a fleet. Sidecars and endpoints are assigned to the zones in turn.
 *
 * @param peers whether sidecars gossip with each other; not supported in simulated time
 */
public record Sizes(int sidecars, int endpoints, List<String> zones, boolean peers) {

    private static final int MAX_SIDECARS = 10_000;
    private static final int MAX_ENDPOINTS = 100_000;

    public Sizes {
        zones = List.copyOf(zones);
        requireRange("fleet.sidecars", sidecars, MAX_SIDECARS);
        requireRange("fleet.endpoints", endpoints, MAX_ENDPOINTS);
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("fleet.zones must name at least one zone but is empty");
        }
    }

    private static void requireRange(String field, int value, int max) {
        if (value < 1 || value > max) {
            throw new IllegalArgumentException(field + " must be 1 to " + max + " but is " + value);
        }
    }

    /** Returns the number of parts of a kind. */
    public int count(Selector.Group group) {
        return switch (group) {
            case SIDECAR -> sidecars;
            case ENDPOINT -> endpoints;
            default -> 1;
        };
    }

    /** Returns the zone of the sidecar or endpoint with this number. */
    public String zoneOf(int number) {
        return zones.get(number % zones.size());
    }
}
