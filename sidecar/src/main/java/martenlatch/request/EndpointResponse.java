package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;

/**
 * A final response of an endpoint.
 *
 * @param status the HTTP status code
 * @param notExecuted whether the response says that the endpoint did not begin to execute the request
 * @param keepAlive whether the connection can be reused
 * @param contentType the content type, or null if the response has none
 * @param body the complete body; empty if a proxy forwards the body by itself or if there is a remaining body
 * @param remainingBody the body that is forwarded while it arrives, or null if the body is complete
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are forwarded without a copy, and responses are never compared
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

    /** Returns the outcome of an attempt that got this response. */
    public AttemptOutcome outcome() {
        return outcome(status, notExecuted);
    }

    /** Returns the outcome of an attempt whose response has this status and execution flag. */
    public static AttemptOutcome outcome(int status, boolean notExecuted) {
        if (status == OK) {
            return AttemptOutcome.OK;
        }
        if ((status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT) && notExecuted) {
            return AttemptOutcome.REJECTED_QUEUE_FULL;
        }
        // A 4xx status means that the request itself is invalid, which says nothing about the endpoint. 429 counts as a
        // failure: passing it on would tell the client that the request was not executed, which is not known here.
        boolean invalidRequest = status >= 400 && status < 500 && status != TOO_MANY_REQUESTS;
        return invalidRequest ? AttemptOutcome.NOT_EXECUTED : AttemptOutcome.FAILED;
    }
}
