package martenlatch.fleet.scenario;

import java.util.List;

/**
 * How large a fleet is. Sidecars and endpoints are dealt out among the zones in turn.
 *
 * @param peers whether sidecars keep each other informed; in simulated time they do not yet
 */
public record Sizes(int sidecars, int endpoints, List<String> zones, boolean peers) {

    private static final int MOST_SIDECARS = 10_000;
    private static final int MOST_ENDPOINTS = 100_000;

    public Sizes {
        zones = List.copyOf(zones);
        within("fleet.sidecars", sidecars, MOST_SIDECARS);
        within("fleet.endpoints", endpoints, MOST_ENDPOINTS);
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("fleet.zones must name one but is empty");
        }
    }

    private static void within(String field, int value, int most) {
        if (value < 1 || value > most) {
            throw new IllegalArgumentException(field + " must be 1 to " + most + " but is " + value);
        }
    }

    /** How many there are of a kind. */
    public int count(Selector.Group group) {
        return switch (group) {
            case SIDECAR -> sidecars;
            case ENDPOINT -> endpoints;
            default -> 1;
        };
    }

    /** The zone of a sidecar or an endpoint. */
    public String zoneOf(int number) {
        return zones.get(number % zones.size());
    }
}
