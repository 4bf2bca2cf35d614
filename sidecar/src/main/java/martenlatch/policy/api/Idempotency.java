package martenlatch.policy.api;

/** Whether a request may be repeated after it may have been executed. */
public enum Idempotency {
    /** May be repeated anywhere and at any time. */
    IDEMPOTENT,
    /** May be repeated at the endpoints of one scope, which drop repeats within the class's deduplication window. */
    IDEMPOTENCY_KEY,
    /** Must never be executed twice. */
    NON_IDEMPOTENT
}
