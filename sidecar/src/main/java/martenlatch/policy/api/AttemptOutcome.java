package martenlatch.policy.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** A complete and good response. */
    OK,
    /** The endpoint responded that it has failed; it may have executed the request. */
    FAILED,
    /** The endpoint rejected the attempt before executing it: its queue is full, or it drains. */
    REJECTED_QUEUE_FULL,
    /** No response in time; the request may have been executed, or may yet be. */
    TIMED_OUT,
    /** The connection was not established, or was lost before the last byte of the request was written. */
    CONNECT_ERROR,
    /** The connection was lost after that; the request may have been executed. */
    RESET,
    /** Given up by this side; the request may have been executed. */
    CANCELED,
    /** Not executed for a reason that says nothing about the endpoint, such as a withdrawn or invalid request. */
    NOT_EXECUTED;

    /** Whether this outcome proves that the endpoint never began to execute the request. */
    public boolean neverExecuted() {
        return this == REJECTED_QUEUE_FULL || this == CONNECT_ERROR || this == NOT_EXECUTED;
    }
}
