package martenlatch.host;

import martenlatch.policy.api.AttemptOutcome;

/**
 * A final answer of an endpoint as it came.
 *
 * @param status the HTTP status
 * @param notRun whether it says that the request was never begun
 * @param keepAlive whether its connection may be used again
 * @param contentType null where it told none
 * @param body empty where a proxy passes it on by itself, or where there is a rest
 * @param rest what is passed on as it comes, or null where the body is whole
 */
public record Answer(int status, boolean notRun, boolean keepAlive, String contentType, byte[] body, Rest rest) {

    /** Means to a client that it may safely ask again. */
    private static final int TOO_MANY = 429;

    /** An answer that is whole. */
    public Answer(int status, boolean notRun, boolean keepAlive, String contentType, byte[] body) {
        this(status, notRun, keepAlive, contentType, body, null);
    }

    /** How an attempt ended that was answered so. */
    public AttemptOutcome outcome() {
        return outcome(status, notRun);
    }

    /** The same for who has no more of the answer than this. */
    public static AttemptOutcome outcome(int status, boolean notRun) {
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        if ((status == 503 || status == 504) && notRun) {
            return AttemptOutcome.REJECTED_QUEUE_FULL;
        }
        // The request was turned away for what it is, which says nothing of the endpoint. But 429 passed on
        // would be our word that it has not run, and nothing here says so.
        return status >= 400 && status < 500 && status != TOO_MANY
                ? AttemptOutcome.NOT_EXECUTED
                : AttemptOutcome.FAILED;
    }
}
