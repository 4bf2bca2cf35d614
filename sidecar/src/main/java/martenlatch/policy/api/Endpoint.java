package martenlatch.policy.api;

/**
 * An entry of the endpoint list.
 *
 * @param id equal at every balancer
 * @param zone the index of its zone
 * @param machineType the index of its machine type
 * @param cell the index of its cell
 * @param startedMs when its process started, on the host's clock; 0 for the distant past
 * @param status what discovery says about it
 * @param weight its relative capacity, 0 or more
 */
public record Endpoint(
        String id, int zone, int machineType, int cell, double startedMs, EndpointStatus status, double weight) {

    /** Checks every value. */
    public Endpoint {
        Checks.requirePresent("server.id", id);
        Checks.requirePresent("server.state", status);
        Checks.requireFinite("server.started", startedMs);
        Checks.requireFinite("server.weight", weight);
        Checks.requireNotNegative("server.weight", weight);
    }

    /** The same endpoint with another status. */
    public Endpoint withStatus(EndpointStatus next) {
        return new Endpoint(id, zone, machineType, cell, startedMs, next, weight);
    }
}
