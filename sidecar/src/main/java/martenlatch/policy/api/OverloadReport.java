package martenlatch.policy.api;

/**
 * What a load balancer rejected and ejected since the last report.
 *
 * @param tier the tier of the balancer
 * @param rejected requests rejected at admission
 * @param concurrencyLimit calls that may be in flight at once, by now
 * @param queueFullResponses attempts that an endpoint rejected because its queue was full
 * @param ejections how often an endpoint was ejected
 * @param onProbation endpoints on probation, by now
 * @param readyEndpoints endpoints that are ready, by now
 */
public record OverloadReport(
        int tier,
        int rejected,
        long concurrencyLimit,
        int queueFullResponses,
        int ejections,
        int onProbation,
        int readyEndpoints) {

    /** The line for the log. */
    @Override
    public String toString() {
        return "tier " + tier + ": " + rejected + " requests rejected at a concurrency limit of " + concurrencyLimit
                + ", " + queueFullResponses + " attempts rejected by a full queue, " + ejections
                + " endpoint ejections; " + onProbation + " of " + readyEndpoints + " endpoints on probation";
    }
}
