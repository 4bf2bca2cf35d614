package martenlatch.policy.api;

/**
 * A request from a client.
 *
 * @param id differs from that of every other pending request
 * @param classIndex the index of its class in the settings
 * @param tenantIndex the index of its tenant in the settings, 0 where there are none
 * @param deadlineMs when the client stops waiting, on the host's clock
 * @param clientRetry whether the client marked it as a retry
 */
public record Request(String id, int classIndex, int tenantIndex, double deadlineMs, boolean clientRetry) {

    /** Checks every value. */
    public Request {
        Checks.requirePresent("request.id", id);
        Checks.requireFinite("request.deadline", deadlineMs);
    }
}
