package martenlatch.policy.api;

/**
 * A tenant.
 *
 * @param name its name in the settings
 * @param quotaPerSecond requests a second over all balancers, 0 or more
 * @param serviceShare its share of the service, 0 or more
 */
public record Tenant(String name, double quotaPerSecond, double serviceShare) {

    /** Checks every value. */
    public Tenant {
        Checks.requireNotNegative("tenants[].allowance", quotaPerSecond);
        Checks.requireFinite("tenants[].allowance", quotaPerSecond);
        Checks.requireNotNegative("tenants[].share", serviceShare);
    }
}
