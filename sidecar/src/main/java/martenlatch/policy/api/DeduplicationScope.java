package martenlatch.policy.api;

/** The set of endpoints that share idempotency keys and so drop repeats of each other's requests. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
