package martenlatch.load;

/** How a wish ends, and a request: each in exactly one of these ways. */
public enum RequestOutcome {
    /** An answer 2xx, whole. */
    SERVED,
    /** An answer 429 or 503, whole: it has not run. */
    REFUSED,
    /** Any other answer, none that can be read, or a connection that broke before its end. */
    FAILED,
    /** No whole answer by the deadline, which counts from the intended time. */
    TIMED_OUT,
    /**
     * No connection by the deadline, as all that there may be were busy or none came up: it was never sent.
     */
    NOT_SENT
}
