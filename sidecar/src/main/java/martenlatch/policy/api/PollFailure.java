package martenlatch.policy.api;

/** The reason why a poll of discovery failed. */
public enum PollFailure {
    /** No connection to discovery could be established. */
    UNREACHABLE,
    /** Discovery rejected the poll, or sent no endpoint list. */
    REJECTED,
    /** Discovery did not respond in time, or not completely. */
    NO_RESPONSE,
    /** The connection ended before the response, which says nothing about discovery itself. */
    CONNECTION_LOST
}
