package martenlatch.policy.api;

/**
 * A tenant, whose requests share a quota.
 *
 * @param name the name in the settings
 * @param quotaPerSecond the quota over all balancers, in requests per second; 0 or more
 * @param serviceShare the tenant's share of the service, 0 or more
 */
public record Tenant(String name, double quotaPerSecond, double serviceShare) {

    /** Validates all components. */
    public Tenant {
        Checks.requireNotNegative("tenants[].allowance", quotaPerSecond);
        Checks.requireFinite("tenants[].allowance", quotaPerSecond);
        Checks.requireNotNegative("tenants[].share", serviceShare);
    }
}
