package martenlatch.policy.api;

/** What came of a poll of discovery. */
public enum EndpointListKind {
    /** A whole list known from before this process, perhaps old. */
    CACHED,
    /** A whole list: what it does not name is gone. */
    FULL,
    /** Entries that have changed. */
    DELTA,
    /** The poll failed, or the watch has ended. */
    FAILED
}
