package martenlatch.policy.api;

/**
 * The deployment's rules on endpoints in slow start and draining ones.
 *
 * @param slowStartInitialShare the share of its capacity that an endpoint has at its start, above 0
 * @param slowStartMs how long its capacity grows, in milliseconds
 * @param overloadMultiple an endpoint in slow start fails at this multiple of its capacity, above 0
 * @param overloadWindowMs the time over which that is measured, in milliseconds; above 0
 * @param drainGraceMs the time within which nothing more may be sent to a draining endpoint, in milliseconds
 * @param pollIntervalMs the time within which the endpoint list is polled, in milliseconds; above 0
 */
public record EndpointRules(
        double slowStartInitialShare,
        double slowStartMs,
        double overloadMultiple,
        double overloadWindowMs,
        double drainGraceMs,
        double pollIntervalMs) {

    /** Checks every value. */
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
