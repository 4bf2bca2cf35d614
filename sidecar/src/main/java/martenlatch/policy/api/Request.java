package martenlatch.policy.api;

/**
 * A request from a client.
 *
 * @param id unique among the pending requests
 * @param classIndex the index of the request class in the settings
 * @param tenantIndex the index of the tenant in the settings; 0 where there are none
 * @param deadlineMs the time by which the final answer is due, on the host's clock
 * @param answerSlackMs the time after the deadline within which a final answer still reaches the client in time
 * @param clientRetry whether the client marked the request as a retry
 */
public record Request(
        String id, int classIndex, int tenantIndex, double deadlineMs, double answerSlackMs, boolean clientRetry) {

    /** Validates all components. */
    public Request {
        Checks.requirePresent("request.id", id);
        Checks.requireFinite("request.deadline", deadlineMs);
        Checks.requireNotNegative("request.answerSlack", answerSlackMs);
        Checks.requireFinite("request.answerSlack", answerSlackMs);
    }

    /** Creates a request whose final answer reaches the client in time only if it is given by the deadline. */
    public Request(String id, int classIndex, int tenantIndex, double deadlineMs, boolean clientRetry) {
        this(id, classIndex, tenantIndex, deadlineMs, 0, clientRetry);
    }
}
