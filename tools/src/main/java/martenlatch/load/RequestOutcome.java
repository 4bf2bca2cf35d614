package martenlatch.load;

/** The outcome of a request, and of an arrival with all its retries: each has exactly one. */
public enum RequestOutcome {
    /** A whole answer with a 2xx status. */
    SERVED,
    /** A whole answer with status 429 or 503: the request was rejected and not run. */
    REFUSED,
    /** Any other status, an answer that can't be parsed, or a connection that closed before the end of the answer. */
    FAILED,
    /** No whole answer by the deadline, which counts from the send of the request. */
    TIMED_OUT,
    /**
     * No connection by the deadline, as all allowed connections were busy or none could be opened. The request was
     * never sent.
     */
    NOT_SENT
}
