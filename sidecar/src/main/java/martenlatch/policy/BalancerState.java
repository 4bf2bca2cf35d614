package martenlatch.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.policy.api.*;

/** What the parts of one load balancer share: the settings in force, the endpoints, and counts over all of them. */
final class BalancerState {

    /** Endpoints by id, in the order in which they became known; a removed one may still have attempts in flight. */
    final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    BalancerSettings settings; // the settings for requests from now on
    int readyCount; // endpoints that take new requests
    int readyInOwnZone; // those of them that are in the balancer's own zone
    double meanWeight = 1; // mean weight of the ready endpoints
    int probationCount; // endpoints on probation
    int inFlight; // attempts in flight at all endpoints
    double peakInFlight; // their recent peak, which decays
    final OverloadCounters counters = new OverloadCounters(); // what the next report to the operators tells

    boolean isRemote(EndpointState endpoint) {
        return endpoint.effective.zone() != settings.ownZone();
    }

    /** The endpoint's weight as a multiple of the mean, or 1 where weights are not used. */
    double relativeWeight(EndpointState endpoint) {
        double weight = endpoint.effective.weight();
        return settings.weighted() && weight > 0 ? weight / meanWeight : 1;
    }

    /** The share of its full capacity that an endpoint surely has: in slow start it grows linearly up to 1. */
    double warmCapacity(double nowMs, EndpointState endpoint) {
        EndpointRules rules = settings.rules();
        double ageMs = nowMs - endpoint.effective.startedMs();
        if (endpoint.effective.startedMs() <= 0 || rules.slowStartMs() <= 0 || ageMs >= rules.slowStartMs()) {
            return 1;
        }
        double initialShare = rules.slowStartInitialShare();
        return initialShare + (1 - initialShare) * Math.max(0, ageMs) / rules.slowStartMs();
    }

    /** With more than half of all endpoints on probation the cause is shared: ejecting them would leave none. */
    boolean suspectsSharedCause() {
        return probationCount * 2 > readyCount;
    }

    /** The pause between two refills of the slot pool, in milliseconds. */
    double refillPauseMs() {
        return settings.limits().connectTimeoutMs() / 2;
    }
}
