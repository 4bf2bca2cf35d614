package martenlatch.world;

/** What an endpoint does with requests, other than serve them. */
public enum EndpointFault {
    /** Nothing: it serves. */
    NONE,
    /** Takes requests, runs them, and never answers. */
    HANGS,
    /** Runs them and breaks the connection instead of an answer. */
    RESETS,
    /** Runs them and breaks the connection in the middle of the answer. */
    HALF,
    /** Answers twice. */
    TWICE,
    /** Answers with what is no HTTP. */
    GARBLES,
    /** Answers 500. */
    ERRORS,
    /** Takes ten times as long. */
    SLOW,
    /** Accepts connections and never reads from them. */
    DEAF
}
