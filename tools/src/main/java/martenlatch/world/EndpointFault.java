package martenlatch.world;

/** A fault that an emulated endpoint shows. */
public enum EndpointFault {
    /** No fault: requests are served. */
    NONE,
    /** Runs requests and never answers them. */
    HANGS,
    /** Runs requests and resets the connection in place of an answer. */
    RESETS,
    /** Runs requests and closes the connection in the middle of the answer. */
    HALF,
    /** Sends two answers to each request. */
    TWICE,
    /** Answers with bytes that are not HTTP. */
    GARBLES,
    /** Answers with status 500. */
    ERRORS,
    /** Takes ten times the usual service time. */
    SLOW,
    /** Accepts connections but never reads from them. */
    DEAF
}
