package martenlatch.policy.api;

import java.util.List;

/**
 * The settings of a load balancer.
 *
 * @param balancerCount the number of balancers that use these endpoints, 1 or more
 * @param ownIndex the index of this balancer among them, from 0
 * @param ownZone the index of this balancer's zone
 * @param tier the tier of this balancer; 0 where it serves external clients
 * @param pollsEndpointList whether the endpoint list is polled, rather than pushed
 * @param weighted whether endpoint weights are used
 * @param overQuotaWeight factor on the priority weight of requests over their tenant's quota
 * @param crossZonePrice the price of a request to another zone, 0 or more
 * @param classes the request classes, one or more
 * @param tenants the tenants; empty where requests have no tenant
 * @param limits the limits on attempts and rejections
 * @param rules the rules for endpoints
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

    /** Validates all components. */
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

    /** Returns the highest priority weight of all classes, at least a tiny positive number. */
    public double maxPriorityWeight() {
        double max = Double.MIN_NORMAL;
        for (RequestClass requestClass : classes) {
            max = Math.max(max, requestClass.priorityWeight());
        }
        return max;
    }

    /** Returns whether the requests of at least one class may be repeated. */
    public boolean hasRepeatableClass() {
        for (RequestClass requestClass : classes) {
            if (!requestClass.mustNotRepeat()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks that these settings contain the request's class and tenant.
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
