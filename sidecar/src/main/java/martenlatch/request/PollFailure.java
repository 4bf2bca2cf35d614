package martenlatch.request;

/** The reason why a poll of discovery failed. */
public enum PollFailure {
    /** No connection to discovery could be established. */
    UNREACHABLE,
    /** Discovery rejected the poll, did not respond in time, or closed the connection. */
    REJECTED
}
