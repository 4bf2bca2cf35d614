package martenlatch.policy.api;

/**
 * A class of requests.
 *
 * @param name its name in the settings
 * @param latencyObjectiveMs the time within which an answer is worth all of its weight, in milliseconds; above 0
 * @param deadlineMs the longest time that a client waits, in milliseconds; above 0
 * @param priorityWeight what an answer in time is worth, 0 or more
 * @param latePriorityWeight what an answer after the objective is worth, 0 or more
 * @param idempotency whether a request may be repeated
 * @param deduplicationScope which endpoints drop repeats, with {@link Idempotency#IDEMPOTENCY_KEY}
 * @param deduplicationWindowMs for how long they do, in milliseconds; above 0 with an idempotency key
 * @param streaming whether answers are streamed
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

    /** Checks every value. */
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

    /** Whether a request may be repeated anywhere and at any time. */
    public boolean isIdempotent() {
        return idempotency == Idempotency.IDEMPOTENT;
    }

    /** Whether endpoints drop the repeats of a request by its idempotency key. */
    public boolean usesIdempotencyKey() {
        return idempotency == Idempotency.IDEMPOTENCY_KEY;
    }

    /** Whether a request must never be executed twice. */
    public boolean mustNotRepeat() {
        return idempotency == Idempotency.NON_IDEMPOTENT;
    }
}
