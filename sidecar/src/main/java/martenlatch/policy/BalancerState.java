package martenlatch.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.policy.api.*;

/** What the parts of one load balancer share: the settings in force, the endpoints, and counts over all of them. */
final class BalancerState {

    /** Endpoints by id, in the order in which they became known; a removed one may still have attempts in flight. */
    final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    BalancerSettings settings; // the settings for requests from now on
    /** Endpoints that take new requests: all of them, and those in the balancer's own zone. */
    int readyCount;

    int readyInOwnZone;
    double meanWeight = 1; // mean weight of the ready endpoints
    int probationCount; // endpoints on probation
    /** Attempts in flight at all endpoints, and their recent peak, which decays. */
    int inFlight;

    double peakInFlight;
    final OverloadCounters counters = new OverloadCounters(); // what the next report to the operators tells

    boolean isRemote(EndpointState endpoint) {
        return endpoint.effective.zone() != settings.ownZone();
    }

    /** The endpoint's weight as a multiple of the mean, or 1 where weights are not used. */
    double relativeWeight(EndpointState endpoint) {
        double weight = endpoint.effective.weight();
        return settings.weighted() && weight > 0 ? weight / meanWeight : 1;
    }

    /** The share of its full capacity that an endpoint surely has: below 1 in slow start. */
    double warmCapacity(double nowMs, EndpointState endpoint) {
        double startedMs = endpoint.effective.startedMs();
        return startedMs <= 0 ? 1 : settings.rules().slowStartCapacity(nowMs - startedMs);
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
