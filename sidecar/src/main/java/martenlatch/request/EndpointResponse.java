package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;

/**
 * A final response of an endpoint.
 *
 * @param status the HTTP status
 * @param notExecuted whether it says that the request was never begun
 * @param keepAlive whether its connection may be used again
 * @param contentType null where it has none
 * @param body empty where a proxy passes it on by itself, or where there is a remaining body
 * @param remainingBody what is passed on as it comes, or null where the body is complete
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are passed on without a copy, and responses are not compared
public record EndpointResponse(
        int status,
        boolean notExecuted,
        boolean keepAlive,
        String contentType,
        byte[] body,
        RemainingBody remainingBody) {

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Creates a complete response. */
    public EndpointResponse(int status, boolean notExecuted, boolean keepAlive, String contentType, byte[] body) {
        this(status, notExecuted, keepAlive, contentType, body, null);
    }

    /** How an attempt ended that got this response. */
    public AttemptOutcome outcome() {
        return outcome(status, notExecuted);
    }

    /** How an attempt ended that got a response with this status and word on execution. */
    public static AttemptOutcome outcome(int status, boolean notExecuted) {
        if (status == OK) {
            return AttemptOutcome.OK;
        }
        if ((status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT) && notExecuted) {
            return AttemptOutcome.REJECTED_QUEUE_FULL;
        }
        // A 4xx rejects the request for what it is, which says nothing about the endpoint. But 429 passed on would
        // tell the client that the request was not executed, and nothing here says so.
        boolean invalidRequest = status >= 400 && status < 500 && status != TOO_MANY_REQUESTS;
        return invalidRequest ? AttemptOutcome.NOT_EXECUTED : AttemptOutcome.FAILED;
    }
}
