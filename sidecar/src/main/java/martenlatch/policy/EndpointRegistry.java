package martenlatch.policy;

import java.util.*;
import martenlatch.policy.api.*;

/** Applies endpoint lists and operators' commands, counts the ready endpoints, and places them on the ring. */
final class EndpointRegistry {

    private final BalancerState state;
    private final SlotPool pool;
    private final OutlierDetector outliers;
    /** Ids of endpoints that operators have disabled; these get no new requests, whatever their listed status is. */
    private Set<String> disabled = Set.of();

    EndpointRegistry(BalancerState state, SlotPool pool, OutlierDetector outliers) {
        this.state = state;
        this.pool = pool;
        this.outliers = outliers;
    }

    /** Applies a full list or a delta; an endpoint that is missing from a full list is gone. */
    void applyList(double nowMs, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<String> listed = new HashSet<>();
            entries.forEach(entry -> listed.add(entry.id()));
            for (EndpointState endpoint : List.copyOf(state.endpoints.values())) {
                if (!listed.contains(endpoint.id)) {
                    update(nowMs, endpoint.announced.withStatus(EndpointStatus.GONE));
                }
            }
        }
        entries.forEach(entry -> update(nowMs, entry));
        recount(nowMs);
    }

    /** Disables exactly these endpoints; returns the known endpoints that this enables again. */
    List<EndpointState> setDisabled(double nowMs, Set<String> ids) {
        Set<String> disabledBefore = disabled;
        disabled = Set.copyOf(ids);
        List<EndpointState> reenabled = new ArrayList<>();
        for (EndpointState endpoint : List.copyOf(state.endpoints.values())) {
            if (disabledBefore.contains(endpoint.id) && !disabled.contains(endpoint.id)) {
                // The endpoint was disabled for repair, so that its earlier statistics no longer apply.
                outliers.resetStatistics(endpoint);
                reenabled.add(endpoint);
            }
            update(nowMs, endpoint.announced);
        }
        recount(nowMs);
        return reenabled;
    }

    /** Applies one entry of a list. */
    private void update(double nowMs, Endpoint entry) {
        EndpointState endpoint = state.endpoints.get(entry.id());
        if (endpoint != null && entry.startedMs() != endpoint.effective.startedMs()) {
            // A new process starts without its predecessor's statistics and is not charged for attempts in flight
            // there.
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
        boolean drainedByOperators = entry.status() == EndpointStatus.READY && disabled.contains(endpoint.id);
        endpoint.effective = drainedByOperators ? entry.withStatus(EndpointStatus.DRAINING) : entry;
        pool.trackSlowStart(nowMs, endpoint);
        if (!endpoint.isReady()) {
            pool.discardAll(endpoint);
        }
        pool.updateCost(nowMs, endpoint, true);
        removeIfGone(nowMs, endpoint);
    }

    /** Removes an endpoint that is gone once it has no attempts in flight. */
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

    /** Counts the ready endpoints, places them on the ring, and recomputes all ranks. */
    void recount(double nowMs) {
        List<EndpointState> ready = new ArrayList<>();
        double totalWeight = 0;
        int readyInOwnZone = 0;
        for (EndpointState endpoint : state.endpoints.values()) {
            if (endpoint.isReady()) {
                ready.add(endpoint);
                readyInOwnZone += state.isRemote(endpoint) ? 0 : 1;
                totalWeight += endpoint.effective.weight();
            }
        }
        state.readyCount = ready.size();
        state.readyInOwnZone = readyInOwnZone;
        state.meanWeight = ready.isEmpty() || totalWeight <= 0 ? 1 : totalWeight / ready.size();
        ready.sort(Comparator.comparingLong(pool::ringOrder).thenComparing(endpoint -> endpoint.id));
        placeOnRing(ready);
        pool.recomputeRanks(nowMs, ready);
    }

    /** Gives each endpoint an arc of its zone's ring in proportion to its weight; hashes alone would be uneven. */
    private void placeOnRing(List<EndpointState> ordered) {
        Map<Integer, Double> zoneWeights = new HashMap<>();
        for (EndpointState endpoint : ordered) {
            zoneWeights.merge(endpoint.effective.zone(), state.relativeWeight(endpoint), Double::sum);
        }
        Map<Integer, Double> placedWeights = new HashMap<>();
        for (EndpointState endpoint : ordered) {
            int zone = endpoint.effective.zone();
            double placed = placedWeights.getOrDefault(zone, 0.0);
            endpoint.ringPosition = state.settings.balancerCount() * (1 - placed / zoneWeights.get(zone));
            placedWeights.put(zone, placed + state.relativeWeight(endpoint));
        }
    }
}
