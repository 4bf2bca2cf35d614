package martenlatch.policy.api;

/**
 * A class of requests that share a latency objective, a priority and the rules for repeats.
 *
 * @param name the name in the settings
 * @param latencyObjectiveMs the time within which an answer has its full priority weight, in milliseconds; above 0
 * @param deadlineMs the longest time that a client waits, in milliseconds; above 0
 * @param priorityWeight the weight of an answer within the objective, 0 or more
 * @param latePriorityWeight the weight of an answer after the objective, 0 or more
 * @param idempotency whether a request may be repeated
 * @param deduplicationScope the endpoints that drop repeats; used with {@link Idempotency#IDEMPOTENCY_KEY}
 * @param deduplicationWindowMs the time for which they do so, in milliseconds; above 0 with an idempotency key
 * @param streaming whether responses are streamed
 */
public record RequestClass(
        String name,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double latePriorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        boolean streaming) {

    /** Validates all components. */
    public RequestClass {
        Checks.requirePositive("classes[].aim", latencyObjectiveMs);
        Checks.requireFinite("classes[].aim", latencyObjectiveMs);
        Checks.requirePositive("classes[].deadline", deadlineMs);
        Checks.requireFinite("classes[].deadline", deadlineMs);
        Checks.requireNotNegative("classes[].worth", priorityWeight);
        Checks.requireFinite("classes[].worth", priorityWeight);
        Checks.requireNotNegative("classes[].lateWorth", latePriorityWeight);
        Checks.requirePresent("classes[].effect", idempotency);
        Checks.requirePresent("classes[].group", deduplicationScope);
        if (idempotency == Idempotency.IDEMPOTENCY_KEY) {
            Checks.requirePositive("classes[].window", deduplicationWindowMs);
        }
    }

    /** Returns whether a request may be repeated anywhere and at any time. */
    public boolean isIdempotent() {
        return idempotency == Idempotency.IDEMPOTENT;
    }

    /** Returns whether endpoints drop repeats of a request by its idempotency key. */
    public boolean usesIdempotencyKey() {
        return idempotency == Idempotency.IDEMPOTENCY_KEY;
    }

    /** Returns whether a request must never be executed twice. */
    public boolean mustNotRepeat() {
        return idempotency == Idempotency.NON_IDEMPOTENT;
    }
}
