package martenlatch.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.policy.api.*;

/** State shared by the components of one load balancer: current settings, endpoints, and counts over all endpoints. */
final class BalancerState {

    /** Known endpoints by id, in the order in which they were first listed. */
    final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    BalancerSettings settings; // apply to new requests; a pending one keeps its class and attempt limit
    int readyCount; // endpoints that accept new requests
    int readyInOwnZone; // ready endpoints in the balancer's own zone
    double meanWeight = 1; // mean weight of the ready endpoints
    int probationCount; // endpoints on probation
    int inFlight; // attempts in flight at all endpoints
    double peakInFlight; // recent peak of inFlight; decays at each refill
    final OverloadCounters counters = new OverloadCounters(); // counts for the next overload report

    /** Returns whether the endpoint is in another zone than this balancer. */
    boolean isRemote(EndpointState endpoint) {
        return endpoint.effective.zone() != settings.ownZone();
    }

    /** Returns the endpoint's weight as a multiple of the mean, or 1 where weights are not used. */
    double relativeWeight(EndpointState endpoint) {
        double weight = endpoint.effective.weight();
        return settings.weighted() && weight > 0 ? weight / meanWeight : 1;
    }

    /** Returns the share of its capacity that an endpoint is assumed to have; it grows linearly to 1 in slow start. */
    double slowStartCapacity(double nowMs, EndpointState endpoint) {
        EndpointRules rules = settings.rules();
        double ageMs = nowMs - endpoint.effective.startedMs();
        if (endpoint.effective.startedMs() <= 0 || rules.slowStartMs() <= 0 || ageMs >= rules.slowStartMs()) {
            return 1;
        }
        double initialShare = rules.slowStartInitialShare();
        return initialShare + (1 - initialShare) * Math.max(0, ageMs) / rules.slowStartMs();
    }

    /**
     * Returns whether more than half of the ready endpoints are on probation. The cause is then probably common to all,
     * and ejecting more of them would leave none.
     */
    boolean suspectsCommonCause() {
        return probationCount * 2 > readyCount;
    }

    /** Returns the interval between two refills of the slot pool, in milliseconds. */
    double refillIntervalMs() {
        return settings.limits().connectTimeoutMs() / 2;
    }
}
