package martenlatch.policy.api;

/**
 * Limits on attempts and rejections.
 *
 * @param maxAttempts attempts for each request, 1 or more
 * @param hedging whether a second attempt may start while the first one is in flight
 * @param cancellation whether an attempt that was sent may be cancelled
 * @param maxRetryAfterMs the longest time that a rejection may ask a client to wait, in milliseconds
 * @param connectTimeoutMs the time within which a connection is established, in milliseconds; above 0
 */
public record AttemptLimits(
        int maxAttempts, boolean hedging, boolean cancellation, double maxRetryAfterMs, double connectTimeoutMs) {

    /** Validates all components. */
    public AttemptLimits {
        Checks.requirePositive("limits.tries", maxAttempts);
        Checks.requireFinite("limits.maxCoolDown", maxRetryAfterMs);
        Checks.requireFinite("limits.connectTimeout", connectTimeoutMs);
        Checks.requireNotNegative("limits.maxCoolDown", maxRetryAfterMs);
        Checks.requirePositive("limits.connectTimeout", connectTimeoutMs);
    }
}
