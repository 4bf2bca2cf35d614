package martenlatch.policy.api;

/** The endpoints that share their memory of idempotency keys and drop each other's repeats. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL;

    /** Whether a repeat at {@code other} is dropped after an execution at {@code first}. */
    public boolean covers(Endpoint first, Endpoint other) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> first.zone() == other.zone();
            case CELL -> first.cell() == other.cell();
        };
    }
}
