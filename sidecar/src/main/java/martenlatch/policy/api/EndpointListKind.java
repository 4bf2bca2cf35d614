package martenlatch.policy.api;

/** The kind of an update of the endpoint list. */
public enum EndpointListKind {
    /** A full list that was stored before this process started; it may be out of date. */
    CACHED,
    /** A full list; endpoints that are missing from it are gone. */
    FULL,
    /** Only the entries that have changed. */
    DELTA,
    /** No list: the poll failed or the watch ended. */
    FAILED
}
