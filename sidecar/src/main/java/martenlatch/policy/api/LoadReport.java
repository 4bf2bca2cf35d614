package martenlatch.policy.api;

/**
 * The load that an endpoint reports about itself.
 *
 * @param inFlight the number of requests at the endpoint; negative if not reported
 */
public record LoadReport(double inFlight) {

    /** The value for an endpoint that reports no load. */
    public static final LoadReport NONE = new LoadReport(-1);
}
