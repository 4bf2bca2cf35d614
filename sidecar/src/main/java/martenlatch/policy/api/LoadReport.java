package martenlatch.policy.api;

/**
 * An endpoint's own report of its load.
 *
 * @param inFlight requests that it has; negative where it did not say
 */
public record LoadReport(double inFlight) {

    /** No report. */
    public static final LoadReport NONE = new LoadReport(-1);
}
