package martenlatch.policy.api;

/**
 * The requests that a load balancer rejected and the endpoints that it ejected since the last report.
 *
 * @param tier the tier of the balancer
 * @param rejected requests rejected at admission
 * @param concurrencyLimit the current limit on requests in flight
 * @param queueFullResponses attempts that an endpoint rejected because its queue was full
 * @param ejections the number of endpoint ejections
 * @param onProbation endpoints currently on probation
 * @param readyEndpoints endpoints currently ready
 */
public record OverloadReport(
        int tier,
        int rejected,
        long concurrencyLimit,
        int queueFullResponses,
        int ejections,
        int onProbation,
        int readyEndpoints) {

    /** Returns the report as a log line. */
    @Override
    public String toString() {
        return "tier " + tier + ": " + rejected + " requests rejected at a concurrency limit of " + concurrencyLimit
                + ", " + queueFullResponses + " attempts rejected by a full queue, " + ejections
                + " endpoint ejections; " + onProbation + " of " + readyEndpoints + " endpoints on probation";
    }
}
