package martenlatch.policy.api;

import java.util.List;

/**
 * Everything that a load balancer is told by its deployment.
 *
 * @param balancerCount balancers before these endpoints, 1 or more
 * @param ownIndex the index of this one among them, from 0
 * @param ownZone the index of its zone
 * @param tier 0 where clients from outside call it
 * @param pollsEndpointList whether the endpoint list is polled; else it is pushed
 * @param weighted whether the weights of endpoints count
 * @param overQuotaWeight what requests beyond a tenant's quota are worth, as a share
 * @param crossZonePrice the price of a request to another zone
 * @param classes the classes of requests, one or more
 * @param tenants the tenants; none where requests have no tenant
 * @param limits the limits on attempts
 * @param rules the rules on endpoints
 */
public record BalancerSettings(
        int balancerCount,
        int ownIndex,
        int ownZone,
        int tier,
        boolean pollsEndpointList,
        boolean weighted,
        double overQuotaWeight,
        double crossZonePrice,
        List<RequestClass> classes,
        List<Tenant> tenants,
        AttemptLimits limits,
        EndpointRules rules) {

    /** Checks every value. */
    public BalancerSettings {
        Checks.requirePositive("balancers", balancerCount);
        Checks.requireNotNegative("ownNumber", ownIndex);
        Checks.requireNotNegative("tier", tier);
        Checks.requireNotNegative("overShareWorth", overQuotaWeight);
        Checks.requireNotNegative("crossZonePrice", crossZonePrice);
        Checks.requireFinite("crossZonePrice", crossZonePrice);
        Checks.requirePresent("limits", limits);
        Checks.requirePresent("rules", rules);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty: at least one is needed");
        }
    }

    /** The highest priority weight of any class, above 0. */
    public double maxPriorityWeight() {
        double max = Double.MIN_NORMAL;
        for (RequestClass requestClass : classes) {
            max = Math.max(max, requestClass.priorityWeight());
        }
        return max;
    }

    /** Whether the requests of any class may be repeated. */
    public boolean anyRepeatable() {
        for (RequestClass requestClass : classes) {
            if (!requestClass.mustNotRepeat()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks that a request's class and tenant are among these settings.
     *
     * @throws IllegalArgumentException naming the request, the field and its value
     */
    public void requireValid(Request request) {
        requireIndex(request, "class", request.classIndex(), classes.size(), classes.size());
        requireIndex(request, "tenant", request.tenantIndex(), Math.max(1, tenants.size()), tenants.size());
    }

    private static void requireIndex(Request request, String field, int index, int bound, int known) {
        if (index < 0 || index >= bound) {
            throw new IllegalArgumentException(
                    "request " + request.id() + " is of " + field + " " + index + ", but the settings have " + known);
        }
    }
}
