package martenlatch.policy.api;

/**
 * The end of one attempt.
 *
 * @param requestId the id of its request
 * @param attempt its number among the request's attempts, from 0
 * @param endpointId the endpoint that it was sent to
 * @param outcome how it ended
 * @param durationMs how long it was in flight, in milliseconds
 * @param answered whether the client has its final answer by now
 * @param load the endpoint's load report, or {@link LoadReport#NONE}
 */
public record AttemptResult(
        String requestId,
        int attempt,
        String endpointId,
        AttemptOutcome outcome,
        double durationMs,
        boolean answered,
        LoadReport load) {

    /** Checks every value. */
    public AttemptResult {
        Checks.requirePresent("finished.request", requestId);
        Checks.requirePresent("finished.outcome", outcome);
        Checks.requireNotNegative("finished.attempt", attempt);
        Checks.requireNotNegative("finished.took", durationMs);
        Checks.requireFinite("finished.took", durationMs);
    }
}
