package martenlatch.policy;

import java.util.*;
import martenlatch.policy.api.*;

/** Applies endpoint lists and operators' decisions, counts the ready endpoints, and places them on the ring. */
final class EndpointRegistry {

    private final BalancerState state;
    private final SlotPool pool;
    private final OutlierDetector outliers;
    private Set<String> disabled = Set.of(); // disabled by operators: nothing new is sent there, whatever lists say

    EndpointRegistry(BalancerState state, SlotPool pool, OutlierDetector outliers) {
        this.state = state;
        this.pool = pool;
        this.outliers = outliers;
    }

    /** Applies a list, or changes to one: what a whole list does not name is gone. */
    void applyList(double nowMs, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<String> named = new HashSet<>();
            entries.forEach(entry -> named.add(entry.id()));
            for (EndpointState endpoint : List.copyOf(state.endpoints.values())) {
                if (!named.contains(endpoint.id)) {
                    update(nowMs, endpoint.announced.withStatus(EndpointStatus.GONE));
                }
            }
        }
        entries.forEach(entry -> update(nowMs, entry));
        recount(nowMs);
    }

    /** Disables these endpoints and no others; returns those that are enabled again. */
    List<EndpointState> setDisabled(double nowMs, Set<String> ids) {
        Set<String> before = disabled;
        disabled = Set.copyOf(ids);
        List<EndpointState> enabled = new ArrayList<>();
        for (EndpointState endpoint : List.copyOf(state.endpoints.values())) {
            if (before.contains(endpoint.id) && !disabled.contains(endpoint.id)) {
                // It was disabled to be repaired: what was learned before says nothing now.
                outliers.resetStatistics(endpoint);
                enabled.add(endpoint);
            }
            update(nowMs, endpoint.announced);
        }
        recount(nowMs);
        return enabled;
    }

    private void update(double nowMs, Endpoint entry) {
        EndpointState endpoint = state.endpoints.get(entry.id());
        if (endpoint != null && entry.startedMs() != endpoint.effective.startedMs()) {
            // A new process: nothing of its predecessor counts, not even how attempts in flight there end.
            pool.discardAll(endpoint);
            remove(nowMs, endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            if (entry.status() == EndpointStatus.GONE) {
                return;
            }
            endpoint = new EndpointState(entry);
            state.endpoints.put(entry.id(), endpoint);
        }
        endpoint.announced = entry;
        boolean drained = entry.status() == EndpointStatus.READY && disabled.contains(endpoint.id);
        endpoint.effective = drained ? entry.withStatus(EndpointStatus.DRAINING) : entry;
        pool.watchSlowStart(nowMs, endpoint);
        if (!endpoint.isReady()) {
            pool.discardAll(endpoint);
        }
        pool.updateCost(nowMs, endpoint, true);
        removeIfGone(nowMs, endpoint);
    }

    void removeIfGone(double nowMs, EndpointState endpoint) {
        if (!endpoint.removed && endpoint.effective.status() == EndpointStatus.GONE && endpoint.inFlight == 0) {
            remove(nowMs, endpoint);
        }
    }

    private void remove(double nowMs, EndpointState endpoint) {
        outliers.resetStatistics(endpoint);
        endpoint.removed = true;
        pool.remove(nowMs, endpoint);
        state.endpoints.remove(endpoint.id);
    }

    /** Counts the ready endpoints, places them on the ring, and computes all ranks anew. */
    void recount(double nowMs) {
        List<EndpointState> ready = new ArrayList<>();
        double weights = 0;
        int inOwnZone = 0;
        for (EndpointState endpoint : state.endpoints.values()) {
            if (endpoint.isReady()) {
                ready.add(endpoint);
                inOwnZone += state.isRemote(endpoint) ? 0 : 1;
                weights += endpoint.effective.weight();
            }
        }
        state.readyCount = ready.size();
        state.readyInOwnZone = inOwnZone;
        state.meanWeight = ready.isEmpty() || weights <= 0 ? 1 : weights / ready.size();
        ready.sort(Comparator.comparingLong(pool::ringOrder).thenComparing(endpoint -> endpoint.id));
        placeOnRing(ready);
        pool.recomputeRanks(nowMs, ready);
    }

    /** Gives the endpoints of each zone arcs of the ring as wide as their weights: hashes alone would be uneven. */
    private void placeOnRing(List<EndpointState> inOrder) {
        Map<Integer, Double> zoneWeights = new HashMap<>();
        for (EndpointState endpoint : inOrder) {
            zoneWeights.merge(endpoint.effective.zone(), state.relativeWeight(endpoint), Double::sum);
        }
        Map<Integer, Double> placedWeights = new HashMap<>();
        for (EndpointState endpoint : inOrder) {
            int zone = endpoint.effective.zone();
            double placed = placedWeights.getOrDefault(zone, 0.0);
            endpoint.ringPosition = state.settings.balancerCount() * (1 - placed / zoneWeights.get(zone));
            placedWeights.put(zone, placed + state.relativeWeight(endpoint));
        }
    }
}
