package martenlatch.policy.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint sent a complete response that is not an error. */
    OK,
    /** The endpoint sent an error response; it may have executed the request. */
    FAILED,
    /** The endpoint rejected the attempt before executing it: its queue is full, or it is draining. */
    REJECTED_QUEUE_FULL,
    /** No complete response arrived in time; the request may have been or may still be executed. */
    TIMED_OUT,
    /** The connection was not established, or was lost before the last byte of the request was written. */
    CONNECT_ERROR,
    /** The connection was lost after the whole request was written; the request may have been executed. */
    RESET,
    /** The attempt was cancelled on this side; the request may have been executed. */
    CANCELED,
    /** Not executed for a reason other than the endpoint's health, such as a withdrawn or invalid request. */
    NOT_EXECUTED;

    /** Returns whether this outcome proves that the endpoint never began to execute the request. */
    public boolean neverExecuted() {
        return this == REJECTED_QUEUE_FULL || this == CONNECT_ERROR || this == NOT_EXECUTED;
    }
}
