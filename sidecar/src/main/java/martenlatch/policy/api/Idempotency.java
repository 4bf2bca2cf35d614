package martenlatch.policy.api;

/** What may be done with a request that may already have been executed. */
public enum Idempotency {
    /** May be repeated anywhere and at any time. */
    IDEMPOTENT,
    /** Repeats are dropped by the endpoints of one scope, within the class's deduplication window. */
    IDEMPOTENCY_KEY,
    /** Must never be executed twice. */
    NON_IDEMPOTENT
}
