package martenlatch.policy.api;

/** The endpoints that share their memory of idempotency keys and drop each other's repeats. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
