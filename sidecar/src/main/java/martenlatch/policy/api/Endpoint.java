package martenlatch.policy.api;

/**
 * An entry of the endpoint list.
 *
 * @param id the id of the endpoint, the same at every balancer
 * @param zone the index of the zone
 * @param machineType the index of the machine type
 * @param cell the index of the cell
 * @param startedMs the start time of the process on the host's clock; 0 if it started long ago
 * @param status the status that discovery lists
 * @param weight the relative capacity, 0 or more
 */
public record Endpoint(
        String id, int zone, int machineType, int cell, double startedMs, EndpointStatus status, double weight) {

    /** Validates all components. */
    public Endpoint {
        Checks.requirePresent("server.id", id);
        Checks.requirePresent("server.state", status);
        Checks.requireFinite("server.started", startedMs);
        Checks.requireFinite("server.weight", weight);
        Checks.requireNotNegative("server.weight", weight);
    }

    /** Returns the same endpoint with another status. */
    public Endpoint withStatus(EndpointStatus next) {
        return new Endpoint(id, zone, machineType, cell, startedMs, next, weight);
    }
}
