package martenlatch.policy.api;

/**
 * A request from a client.
 *
 * @param id unique among the pending requests
 * @param classIndex the index of the request class in the settings
 * @param tenantIndex the index of the tenant in the settings; 0 where there are none
 * @param deadlineMs the time at which the client stops waiting, on the host's clock
 * @param clientRetry whether the client marked the request as a retry
 */
public record Request(String id, int classIndex, int tenantIndex, double deadlineMs, boolean clientRetry) {

    /** Validates all components. */
    public Request {
        Checks.requirePresent("request.id", id);
        Checks.requireFinite("request.deadline", deadlineMs);
    }
}
