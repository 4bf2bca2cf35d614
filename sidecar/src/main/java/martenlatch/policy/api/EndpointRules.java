package martenlatch.policy.api;

/**
 * Rules for slow start, draining and polling of endpoints.
 *
 * @param slowStartInitialShare the share of its capacity that an endpoint has when it starts, above 0
 * @param slowStartMs the time in which the capacity grows to its full value, in milliseconds
 * @param overloadMultiple the multiple of its capacity at which an endpoint in slow start fails, above 0
 * @param overloadWindowMs the time over which that load is measured, in milliseconds; above 0
 * @param drainGraceMs the time after which no more requests may be sent to a draining endpoint, in milliseconds
 * @param pollIntervalMs the longest time until the endpoint list is polled, in milliseconds; above 0
 */
public record EndpointRules(
        double slowStartInitialShare,
        double slowStartMs,
        double overloadMultiple,
        double overloadWindowMs,
        double drainGraceMs,
        double pollIntervalMs) {

    /** Validates all components. */
    public EndpointRules {
        Checks.requirePositive("rules.coldShare", slowStartInitialShare);
        Checks.requireFinite("rules.coldShare", slowStartInitialShare);
        Checks.requireNotNegative("rules.coldMs", slowStartMs);
        Checks.requireFinite("rules.coldMs", slowStartMs);
        Checks.requireFinite("rules.askWithin", pollIntervalMs);
        Checks.requirePositive("rules.tipMultiple", overloadMultiple);
        Checks.requirePositive("rules.fallMs", overloadWindowMs);
        Checks.requireNotNegative("rules.drainGrace", drainGraceMs);
        Checks.requirePositive("rules.askWithin", pollIntervalMs);
    }
}
