package martenlatch.policy.api;

/**
 * The result of one attempt.
 *
 * @param requestId the id of the request
 * @param attempt the number of the attempt within the request, from 0
 * @param endpointId the id of the endpoint that the attempt was sent to
 * @param outcome how the attempt ended
 * @param durationMs the time from sending the attempt to its end, in milliseconds
 * @param answered whether the client already has its final answer
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

    /** Validates all components. */
    public AttemptResult {
        Checks.requirePresent("finished.request", requestId);
        Checks.requirePresent("finished.outcome", outcome);
        Checks.requireNotNegative("finished.attempt", attempt);
        Checks.requireNotNegative("finished.took", durationMs);
        Checks.requireFinite("finished.took", durationMs);
    }
}
